#include "platformstandin/platformorders.h"

#include "standin/jsonfields.h"

namespace ebony::platformstandin {

base::Checked<PlatformOrders> updatedOrders(const PlatformOrders &Current,
                                            const std::string &Text) {
  base::Findings Problems;
  standin::JsonFields Fields(standin::parseObject(Text, "orders", Problems),
                             "orders", "$", Problems);
  PlatformOrders Orders = Current;
  Orders.Latency_ = Fields.milliseconds("latencyMs", Orders.Latency_);
  Orders.Down_ = Fields.flag("down", Orders.Down_);
  Orders.LoseAnswerProbability_ =
      Fields.number("loseAnswerProbability", Orders.LoseAnswerProbability_);
  Orders.VmListLag_ = Fields.milliseconds("vmListLagMs", Orders.VmListLag_);
  if (Fields.has("cutOffZones"))
    Orders.CutOffZones_.clear();
  for (double Zone : Fields.numbers("cutOffZones"))
    Orders.CutOffZones_.push_back(static_cast<int>(Zone));
  Orders.VmChanges_.clear();
  for (standin::JsonFields &Vm : Fields.objects("vms")) {
    Orders.VmChanges_.push_back(
        {Vm.text("address"), Vm.text("zone"), Vm.text("state")});
    Vm.rejectUnknown();
  }
  Fields.rejectUnknown();
  if (!Problems.empty())
    return Problems;
  return Orders;
}

} // namespace ebony::platformstandin
