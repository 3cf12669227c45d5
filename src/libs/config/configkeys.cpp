#include "config/configkeys.h"

namespace ebony::config {

namespace {

constexpr std::size_t RevisionDigits = 20;

std::string padded(Revision Number) {
  const std::string Digits = std::to_string(Number);
  return std::string(RevisionDigits - Digits.size(), '0') + Digits;
}

} // namespace

std::string ConfigKeys::change(Revision Number) {
  return changes() + padded(Number);
}

std::string ConfigKeys::operation(const OperationId &Operation) {
  return "config/operation/" + Operation.text();
}

std::string ConfigKeys::snapshotObject(Revision Number) {
  return "config-snapshot-" + padded(Number);
}

} // namespace ebony::config
