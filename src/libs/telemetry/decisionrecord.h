#ifndef EBONY_TELEMETRY_DECISIONRECORD_H
#define EBONY_TELEMETRY_DECISIONRECORD_H

#include <optional>
#include <string>

namespace ebony::telemetry {

/// Why one routing or placement decision went as it did.
struct DecisionRecord {
  std::string RequestId_;
  std::string Customer_;
  std::string Service_;
  std::string Route_;
  /// What was decided: "forward", "relay", "refuse", "answer", "lookup".
  std::string Decision_;
  std::string Reason_;
  /// Upstream or entry VM that was chosen; empty where none was.
  std::string Chosen_;
  /// What else was looked at, with the figures that were compared.
  std::string Considered_;
  /// Limit that bound the decision; empty where none did.
  std::string Limit_;

  friend bool operator==(const DecisionRecord &,
                         const DecisionRecord &) = default;
};

/// One line of key=value pairs; spaces, '=' and control characters in values
/// are written as percent escapes.
std::string toLine(const DecisionRecord &Record);

/// Reads a line that toLine wrote; nothing where it has another form.
std::optional<DecisionRecord> parseDecisionLine(const std::string &Line);

} // namespace ebony::telemetry

#endif
