#include "records/recordkind.h"

#include <array>
#include <utility>

namespace ebony::records {

namespace {

struct NamedKind {
  RecordKind Kind_;
  std::string_view Name_;
};

constexpr std::array<NamedKind, 10> Kinds{{
    {RecordKind::Region, "region"},
    {RecordKind::Zone, "zone"},
    {RecordKind::Link, "link"},
    {RecordKind::Service, "service"},
    {RecordKind::Route, "route"},
    {RecordKind::Upstream, "upstream"},
    {RecordKind::Customer, "customer"},
    {RecordKind::Key, "key"},
    {RecordKind::Drain, "drain"},
    {RecordKind::Shift, "shift"},
}};

} // namespace

std::string_view toText(RecordKind Kind) {
  for (const NamedKind &Entry : Kinds)
    if (Entry.Kind_ == Kind)
      return Entry.Name_;
  return "unknown";
}

std::optional<RecordKind> parseRecordKind(std::string_view Text) {
  for (const NamedKind &Entry : Kinds)
    if (Entry.Name_ == Text)
      return Entry.Kind_;
  return std::nullopt;
}

std::string recordKindNames() {
  std::string Names;
  for (const NamedKind &Entry : Kinds)
    Names += (Names.empty() ? "" : ", ") + std::string(Entry.Name_);
  return Names;
}

} // namespace ebony::records
