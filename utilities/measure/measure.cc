// Measures the fleet on loopback and prints a table, or JSON with --json.

#include "measure.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <optional>
#include <sstream>

#include "fleet/record_codec.h"
#include "merge_repetitions.h"
#include "plot.h"

DEFINE_int32(seed, 1, "seed of all random choices");
DEFINE_bool(json, false, "prints JSON");
DEFINE_int32(instances,
             0,
             "instances in place of the profile's; 0: as it says");
DEFINE_int32(repeat, 1, "repetitions, each with the next seed");
DEFINE_string(part, "", "measures only this part of a profile");
DEFINE_string(plot, "", "file to which an SVG plot is written");

namespace parsleyquay {
namespace {

// Median, and the least and the greatest of the repetitions.
std::string SpreadText(const Measurement& measurement) {
  if (measurement.runs.size() < 2) {
    return "";
  }
  std::ostringstream text;
  text << std::fixed << std::setprecision(2) << '[' << measurement.runs.front()
       << " to " << measurement.runs.back() << "] ";
  return text.str();
}

std::string ComparisonsText(const Measurement& measurement) {
  std::ostringstream text;
  for (const Comparison& comparison : measurement.comparisons) {
    text << comparison.name << ' ' << std::setprecision(4) << comparison.value
         << ' ';
  }
  return text.str();
}

void PrintTable(const Measurements& measurements) {
  for (const Measurement& measurement : measurements) {
    std::cout << std::left << std::setw(14) << measurement.subject
              << std::setw(52) << measurement.name << std::right
              << std::setw(12) << std::fixed << std::setprecision(2)
              << measurement.value << ' ' << std::left << std::setw(8)
              << measurement.unit << SpreadText(measurement)
              << ComparisonsText(measurement) << '\n';
  }
}

void PrintJson(const Measurements& measurements) {
  Json::Value json = Json::arrayValue;
  for (const Measurement& measurement : measurements) {
    Json::Value item;
    item["subject"] = measurement.subject;
    item["name"] = measurement.name;
    item["value"] = measurement.value;
    item["unit"] = measurement.unit;
    for (const Comparison& comparison : measurement.comparisons) {
      item["comparisons"][comparison.name] = comparison.value;
    }
    for (const double run : measurement.runs) {
      item["runs"].append(run);
    }
    json.append(item);
  }
  std::cout << ToCompactText(json) << '\n';
}

Profile Adjusted(Profile profile) {
  if (FLAGS_instances > 0) {
    profile.instances = FLAGS_instances;
  }
  return profile;
}

std::optional<Measurements> MeasureOnce(const std::string& subject,
                                        unsigned seed) {
  if (subject == "latency") {
    return MeasureLatency(seed);
  }
  if (subject == "registry") {
    return MeasureProfile(Adjusted(RegistryProfile()), seed, FLAGS_part);
  }
  if (subject == "highwater") {
    return MeasureProfile(Adjusted(HighwaterProfile()), seed, FLAGS_part);
  }
  if (subject == "capacity") {
    return MeasureCapacity(seed);
  }
  return std::nullopt;
}

bool WritePlot(const Measurements& measurements, const std::string& subject) {
  std::ofstream file(FLAGS_plot);
  file << RenderPlot(measurements, "parsleyquay-measure " + subject);
  file.close();
  if (!file) {
    std::cerr << "cannot write the plot to " << FLAGS_plot << '\n';
  }
  return static_cast<bool>(file);
}

int Run(const std::string& subject) {
  if (!FLAGS_part.empty() && !IsProfilePart(FLAGS_part)) {
    std::cerr << "--part: expected one of " << ProfilePartNames() << '\n';
    return 2;
  }
  std::vector<Measurements> repetitions;
  for (int i = 0; i < std::max(1, FLAGS_repeat); ++i) {
    const auto measurements =
        MeasureOnce(subject, static_cast<unsigned>(FLAGS_seed + i));
    if (!measurements) {
      std::cerr << "expected latency, registry, highwater or capacity\n";
      return 2;
    }
    repetitions.push_back(*measurements);
  }
  const Measurements measurements = MergeRepetitions(repetitions);
  FLAGS_json ? PrintJson(measurements) : PrintTable(measurements);
  const bool is_plotted =
      FLAGS_plot.empty() || WritePlot(measurements, subject);
  return measurements.empty() || !is_plotted ? 1 : 0;
}

}  // namespace
}  // namespace parsleyquay

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "measures the fleet: parsleyquay-measure "
      "latency|registry|highwater|capacity [--seed N] "
      "[--part NAME] [--repeat N] [--json] [--plot FILE.svg]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return parsleyquay::Run(argc > 1 ? argv[1] : "");
}
