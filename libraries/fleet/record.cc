#include "fleet/record.h"

namespace parsleyquay {

bool IsOperatorRecord(const RecordBody& body) {
  return std::holds_alternative<DeclarationChange>(body) ||
         std::holds_alternative<KeyIssuance>(body) ||
         std::holds_alternative<KeyRevocation>(body) ||
         std::holds_alternative<DomainChange>(body);
}

}  // namespace parsleyquay
