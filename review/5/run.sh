#!/usr/bin/env bash
# Runs this case; see ../run_case.sh for the exit codes.
exec "$(dirname "$0")/../run_case.sh" 5
