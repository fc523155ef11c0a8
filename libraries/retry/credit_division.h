#ifndef PARSLEYQUAY_RETRY_CREDIT_DIVISION_H_
#define PARSLEYQUAY_RETRY_CREDIT_DIVISION_H_

#include <map>
#include <string>

#include "retry/pooled_retry_budget.h"

namespace parsleyquay {

// Divides whole retries among recipients in equal parts, up to their needs: the
// needs of the highest priority first, then those of the next one. What does
// not divide evenly goes to the recipients from number `first` on, counted
// modulo their number. Returns what each gets, if more than 0.
std::map<std::string, long> DivideRetries(
    long available,
    const std::map<std::string, RetryNeed>& needs,
    std::size_t first);

// Deducts retries from a need, the highest priority first.
void ReduceNeed(RetryNeed& need, long retries);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RETRY_CREDIT_DIVISION_H_
