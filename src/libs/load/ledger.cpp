#include "load/ledger.h"

#include "standin/jsonfields.h"

namespace ebony::load {

void Ledger::merge(const Ledger &Other) {
  Runs_.insert(Runs_.end(), Other.Runs_.begin(), Other.Runs_.end());
  Targets_.insert(Targets_.end(), Other.Targets_.begin(), Other.Targets_.end());
  SlotViolations_ += Other.SlotViolations_;
  KeyLeaks_ += Other.KeyLeaks_;
}

base::Checked<Ledger> parseLedger(const std::string &Text,
                                  const std::string &Source) {
  base::Findings Problems;
  standin::JsonFields Fields(standin::parseObject(Text, Source, Problems),
                             Source, "$", Problems);
  Ledger Result;
  for (standin::JsonFields &Run : Fields.objects("runs"))
    Result.Runs_.push_back({Run.text("requestId"), Run.text("customer"),
                            Run.text("operation"), Run.whole("count")});
  for (standin::JsonFields &Target : Fields.objects("targets"))
    Result.Targets_.push_back({Target.text("target"), Target.whole("slots"),
                               Target.whole("maxInFlight"),
                               Target.number("busySeconds")});
  Result.SlotViolations_ = Fields.whole("slotViolations");
  Result.KeyLeaks_ = Fields.whole("keyLeaks");
  if (!Problems.empty())
    return Problems;
  return Result;
}

} // namespace ebony::load
