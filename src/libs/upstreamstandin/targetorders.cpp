#include "upstreamstandin/targetorders.h"

namespace ebony::upstreamstandin {

void updateOrders(TargetOrders &Orders, standin::JsonFields &Fields) {
  Orders.ServiceTime_ = Fields.milliseconds("serviceMs", Orders.ServiceTime_);
  Orders.ColdExtra_ = Fields.milliseconds("coldMs", Orders.ColdExtra_);
  Orders.Drain_ = Fields.flag("drain", Orders.Drain_);
  Orders.Down_ = Fields.flag("down", Orders.Down_);
  Orders.LieHealth_ = Fields.flag("lieHealth", Orders.LieHealth_);
  Orders.ShedProbability_ =
      Fields.number("shedProbability", Orders.ShedProbability_);
  Orders.LoseAnswerProbability_ =
      Fields.number("loseAnswerProbability", Orders.LoseAnswerProbability_);
  Orders.CutAnswerProbability_ =
      Fields.number("cutAnswerProbability", Orders.CutAnswerProbability_);
  Orders.CrossAnswers_ = Fields.flag("crossAnswers", Orders.CrossAnswers_);
  Orders.DelayAnswer_ =
      Fields.milliseconds("delayAnswerMs", Orders.DelayAnswer_);
  Orders.LagLoad_ = Fields.milliseconds("lagLoadMs", Orders.LagLoad_);
  if (const auto Reported = Fields.whole("lieLoad", -1); Fields.has("lieLoad"))
    Orders.LieLoad_ = Reported < 0
                          ? std::nullopt
                          : std::optional<int>(static_cast<int>(Reported));
}

} // namespace ebony::upstreamstandin
