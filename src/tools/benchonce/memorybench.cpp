#include "base/steadyclock.h"
#include "benches.h"
#include "idempotency/submissionstore.h"

#include <malloc.h>

#include <cstdio>
#include <string>

namespace ebony::benchonce {

namespace {

using namespace std::chrono_literals;
using namespace idempotency;

constexpr std::uint64_t Sessions = 20000;

Submission makeRequest(const SubmissionOwner &Self, std::uint64_t Session,
                       std::uint64_t Counter) {
  return {base::CustomerName("confirmacor-bank-3"),
          IdempotencyKey(RequestSession(Self, 0, Session, Session), Counter),
          AttemptMark(1), Session};
}

// Measures running and finishing every submission, and then replaying it.
void measureRegistry(std::uint64_t PerSession, std::size_t AnswerBytes) {
  const SubmissionOwner Self(base::VmAddress("127.1.1.1"), 1);
  const RegistryLimits Limits{1U << 20U, 64, 1U << 14U, std::size_t{1} << 30U};
  SubmissionStore Store(Self, Limits, 16, base::TimePoint(), 600s);
  const HolderDirectory Directory;
  const base::SteadyClock Clock;
  const std::size_t Before = mallinfo2().uordblks;
  const base::TimePoint Start = Clock.now();
  for (std::uint64_t Session = 0; Session < Sessions; ++Session)
    for (std::uint64_t Counter = 0; Counter < PerSession; ++Counter) {
      const Submission Request = makeRequest(Self, Session, Counter);
      Store.decide(Request, Directory, base::TimePoint());
      Store.finishRun(
          Request, Outcome::Complete,
          StoredAnswerPtr(new StoredAnswer(200, "application/json",
                                           std::string(AnswerBytes, 'a'))));
    }
  const base::TimePoint Filled = Clock.now();
  const std::size_t After = mallinfo2().uordblks;
  for (std::uint64_t Session = 0; Session < Sessions; ++Session)
    for (std::uint64_t Counter = 0; Counter < PerSession; ++Counter)
      Store.decide(makeRequest(Self, Session, Counter), Directory,
                   base::TimePoint());
  const base::TimePoint Replayed = Clock.now();
  const auto Count = static_cast<double>(Sessions * PerSession);
  std::printf("%lu | %zu | %.0f | %.0f | %.0f\n",
              static_cast<unsigned long>(PerSession), AnswerBytes,
              static_cast<double>(After - Before) / Count,
              Count / base::toSeconds(Filled - Start),
              Count / base::toSeconds(Replayed - Filled));
}

} // namespace

void benchMemory() {
  std::puts("submissions per session | answer bytes | bytes per submission | "
            "run and finish/s | replays/s");
  for (const std::uint64_t PerSession : {1, 10})
    for (const std::size_t AnswerBytes : {0, 500, 4000})
      measureRegistry(PerSession, AnswerBytes);
}

} // namespace ebony::benchonce
