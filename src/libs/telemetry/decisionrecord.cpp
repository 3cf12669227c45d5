#include "telemetry/decisionrecord.h"

#include <array>
#include <charconv>
#include <sstream>

namespace ebony::telemetry {

namespace {

struct NamedField {
  const char *Name_;
  std::string DecisionRecord::*Member_;
};

constexpr std::array<NamedField, 9> Fields{{
    {"request", &DecisionRecord::RequestId_},
    {"customer", &DecisionRecord::Customer_},
    {"service", &DecisionRecord::Service_},
    {"route", &DecisionRecord::Route_},
    {"decision", &DecisionRecord::Decision_},
    {"reason", &DecisionRecord::Reason_},
    {"chosen", &DecisionRecord::Chosen_},
    {"considered", &DecisionRecord::Considered_},
    {"limit", &DecisionRecord::Limit_},
}};

bool isPlain(char Symbol) {
  return Symbol > ' ' && Symbol < 127 && Symbol != '=' && Symbol != '%';
}

std::string escape(const std::string &Text) {
  constexpr const char *Digits = "0123456789ABCDEF";
  std::string Result;
  for (char Symbol : Text) {
    if (isPlain(Symbol)) {
      Result += Symbol;
      continue;
    }
    const auto Code = static_cast<unsigned char>(Symbol);
    Result += {'%', Digits[Code >> 4U], Digits[Code & 15U]};
  }
  return Result;
}

std::optional<std::string> unescape(const std::string &Text) {
  constexpr std::size_t EscapeLength = 3;
  std::string Result;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text[At] != '%') {
      Result += Text[At];
      continue;
    }
    unsigned Code = 0;
    if (At + EscapeLength > Text.size())
      return std::nullopt;
    const char *First = Text.data() + At + 1;
    const auto Parsed = std::from_chars(First, First + 2, Code, 16);
    if (Parsed.ptr != First + 2)
      return std::nullopt;
    Result += static_cast<char>(Code);
    At += EscapeLength - 1;
  }
  return Result;
}

} // namespace

std::string toLine(const DecisionRecord &Record) {
  std::string Line;
  for (const NamedField &Field : Fields) {
    Line += Line.empty() ? "" : " ";
    Line += Field.Name_;
    Line += '=';
    Line += escape(Record.*Field.Member_);
  }
  return Line;
}

std::optional<DecisionRecord> parseDecisionLine(const std::string &Line) {
  std::istringstream Words(Line);
  DecisionRecord Record;
  for (const NamedField &Field : Fields) {
    std::string Word;
    const std::string Prefix = std::string(Field.Name_) + "=";
    if (!(Words >> Word) || Word.compare(0, Prefix.size(), Prefix) != 0)
      return std::nullopt;
    auto Value = unescape(Word.substr(Prefix.size()));
    if (!Value)
      return std::nullopt;
    Record.*Field.Member_ = std::move(*Value);
  }
  std::string Rest;
  if (Words >> Rest)
    return std::nullopt;
  return Record;
}

} // namespace ebony::telemetry
