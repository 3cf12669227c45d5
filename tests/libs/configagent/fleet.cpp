#include "fleet.h"

#include "config/configkeys.h"

namespace ebony::configagent::test {

using namespace std::chrono_literals;
using config::TableOutcome;
using config::TableReply;

TableReply FakePlatform::transact(const config::TableTransaction &Transaction) {
  TableReply Reply{TableOutcome::Done, {}, 0};
  for (const config::RowCondition &Condition : Transaction.Conditions_) {
    const auto Found = Rows_.find(Condition.Key_);
    const auto Version = Found == Rows_.end() ? 0 : Found->second.Version_;
    if (Version != Condition.Version_)
      Reply.Rows_.push_back({Condition.Key_, Version, ""});
  }
  if (!Reply.Rows_.empty()) {
    Reply.Outcome_ = TableOutcome::Conflict;
    return Reply;
  }
  Reply.CommittedVersion_ = ++Version_;
  for (const config::RowPut &Put : Transaction.Puts_) {
    Rows_[Put.Key_] = {Put.Key_, Version_, Put.Value_};
    if (OnPut_)
      OnPut_(Put);
  }
  for (const std::string &Key : Transaction.Deletes_)
    Rows_.erase(Key);
  return Reply;
}

TableReply FakePlatform::row(const std::string &Key) {
  const auto Found = Rows_.find(Key);
  return {TableOutcome::Done,
          {Found == Rows_.end() ? config::TableRow{Key, 0, ""} : Found->second},
          0};
}

TableReply FakePlatform::scan(const std::string &Prefix,
                              const std::string &After, std::size_t Limit) {
  TableReply Reply{TableOutcome::Done, {}, 0};
  for (auto Found = Rows_.upper_bound(std::max(Prefix, After));
       Found != Rows_.end() && Reply.Rows_.size() < Limit &&
       Found->first.compare(0, Prefix.size(), Prefix) == 0;
       ++Found)
    Reply.Rows_.push_back(Found->second);
  return Reply;
}

bool FakePlatform::put(const std::string &Name, const std::string &Bytes) {
  Objects_[Name] = Bytes;
  return true;
}

std::optional<std::string> FakePlatform::get(const std::string &Name) {
  const auto Found = Objects_.find(Name);
  return Found == Objects_.end() ? std::nullopt
                                 : std::optional<std::string>(Found->second);
}

void KeyNames::onChange(const config::ChangeSet &Change,
                        const config::RecordSet &Records) {
  for (const config::RecordChange &Item : Change.Changes_) {
    if (Item.Id_.Kind_ != "Key")
      continue;
    if (Item.isDeletion())
      Names_.erase(Item.Id_.Name_);
    else
      Names_.insert(Item.Id_.Name_);
  }
  RevisionDecreased_ =
      RevisionDecreased_ || Records.revision() <= HighestRevision_;
  HighestRevision_ = Records.revision();
}

void KeyNames::onSnapshot(const config::RecordSet &Records) {
  Names_.clear();
  for (const config::RecordPtr &Entry : Records.ofKind("Key"))
    Names_.insert(Entry->id().Name_);
  RevisionDecreased_ =
      RevisionDecreased_ || Records.revision() <= HighestRevision_;
  HighestRevision_ = Records.revision();
}

Fleet::Fleet(std::uint64_t Seed, std::size_t Zones, std::size_t PerZone)
    : Random_(Seed), PerZone_(PerZone), Now_(1h) {
  for (std::size_t Index = 0; Index < Zones * PerZone; ++Index) {
    Nodes_.push_back(std::make_unique<Node>());
    Nodes_.back()->Zone_ = Index / PerZone;
    start(Index);
  }
}

void Fleet::start(std::size_t Index) {
  Node &Target = node(Index);
  Target.Id_ = base::VmIdentity(
      base::VmAddress("127.1." + std::to_string(Target.Zone_) + "." +
                      std::to_string(Index)),
      static_cast<base::Incarnation>(1 + Random_.below(1ULL << 40)),
      base::ZoneName("zone" + std::to_string(Target.Zone_)));
  Target.Keys_ = std::make_unique<KeyNames>();
  Target.Freshness_ =
      std::make_unique<trust::FreshnessTracker>(trust::FreshnessSettings());
  Target.Agent_ = std::make_unique<ConfigAgent>(
      Target.Id_, AgentSettings(), *Target.Freshness_, *Target.Keys_);
  Target.Alive_ = true;
  Target.PullRoundDone_ = false;
  const std::uint64_t Epoch = ++Target.Epoch_;
  ++Target.StoreCallId_;
  schedule(Duration(Random_.below(500000)),
           [=, this] { storeLoop(Index, Epoch); });
  schedule(Duration(Random_.below(500000)),
           [=, this] { pullLoop(Index, Epoch); });
  schedule(Duration(Random_.below(100000)),
           [=, this] { intentLoop(Index, Epoch); });
}

void Fleet::restart(std::size_t Index, Duration Gap) {
  crash(Index);
  schedule(Gap, [this, Index] {
    if (!node(Index).Alive_)
      start(Index);
  });
}

void Fleet::crash(std::size_t Index) {
  node(Index).Alive_ = false;
  ++node(Index).Epoch_;
}

void Fleet::pause(std::size_t Index, Duration Time) {
  node(Index).PausedUntil_ = Now_ + Time;
}

void Fleet::schedule(Duration Time, std::function<void()> Action) {
  Events_.emplace(Now_ + Time, std::move(Action));
}

void Fleet::run(Duration Time, const std::function<void()> &OnTick) {
  const TimePoint End = Now_ + Time;
  TimePoint Tick = Now_;
  while (Tick <= End) {
    while (!Events_.empty() && Events_.begin()->first <= Tick) {
      auto Event = Events_.extract(Events_.begin());
      Now_ = Event.key();
      Event.mapped()();
    }
    Now_ = Tick;
    if (OnTick)
      OnTick();
    Tick += 50ms;
  }
  Now_ = End;
}

bool Fleet::isCurrent(std::size_t Index, std::uint64_t Epoch) const {
  return Nodes_[Index]->Epoch_ == Epoch && Nodes_[Index]->Alive_;
}

bool Fleet::isRunning(std::size_t Index) const {
  return Nodes_[Index]->Alive_ && Now_ >= Nodes_[Index]->PausedUntil_;
}

bool Fleet::canReach(std::size_t From, std::size_t To) const {
  const std::size_t Left = Nodes_[From]->Zone_;
  const std::size_t Right = Nodes_[To]->Zone_;
  return Left == Right ||
         (ZonesCutOff_.count(Left) == 0 && ZonesCutOff_.count(Right) == 0);
}

bool Fleet::canReachTable(std::size_t Index) const {
  const std::size_t Zone = Nodes_[Index]->Zone_;
  return !TableDown_ && ZonesWithoutTable_.count(Zone) == 0 &&
         ZonesCutOff_.count(Zone) == 0;
}

Duration Fleet::delay() { return Duration(500 + Random_.below(40000)); }

void Fleet::storeLoop(std::size_t Index, std::uint64_t Epoch) {
  if (!isCurrent(Index, Epoch))
    return;
  if (!isRunning(Index)) {
    schedule(20ms, [=, this] { storeLoop(Index, Epoch); });
    return;
  }
  auto Request = node(Index).Agent_->nextStoreRequest(Now_);
  if (Request)
    sendStoreRequest(Index, Epoch, *Request);
  else
    schedule(50ms, [=, this] { storeLoop(Index, Epoch); });
}

void Fleet::sendStoreRequest(std::size_t Index, std::uint64_t Epoch,
                             const config::StoreRequest &Request) {
  const std::uint64_t CallId = ++node(Index).StoreCallId_;
  const bool AnswerLost = Random_.chance(LossProbability_);
  const bool IsLate = Random_.chance(LateProbability_);
  const Duration RequestDelay = IsLate ? 900ms + 60 * delay() : delay();
  schedule(RequestDelay, [=, this] {
    if (!canReachTable(Index))
      return;
    config::StoreClient Client(Platform_, Platform_);
    const TableReply Reply = Client.perform(Request);
    if (!AnswerLost)
      schedule(delay(),
               [=, this] { finishStoreRequest(Index, Epoch, CallId, Reply); });
  });
  schedule(1s, [=, this] {
    finishStoreRequest(Index, Epoch, CallId, {TableOutcome::Unknown, {}, 0});
  });
}

void Fleet::finishStoreRequest(std::size_t Index, std::uint64_t Epoch,
                               std::uint64_t CallId, const TableReply &Reply) {
  if (!isCurrent(Index, Epoch) || node(Index).StoreCallId_ != CallId)
    return;
  if (!isRunning(Index)) {
    schedule(20ms,
             [=, this] { finishStoreRequest(Index, Epoch, CallId, Reply); });
    return;
  }
  ++node(Index).StoreCallId_;
  ConfigAgent &Agent = *node(Index).Agent_;
  Agent.handleStoreReply(Reply);
  ChangeProposal *Proposal = Agent.proposal();
  if (Proposal && Proposal->committer().outcome()) {
    if (OnOutcome_)
      OnOutcome_(Index, Proposal->committer().change().Operation_.text(),
                 *Proposal->committer().outcome());
    Agent.endProposal();
  }
  const bool Failed = Reply.Outcome_ != TableOutcome::Done;
  schedule(Failed ? 200ms : 0ms, [=, this] { storeLoop(Index, Epoch); });
}

void Fleet::pullLoop(std::size_t Index, std::uint64_t Epoch) {
  if (!isCurrent(Index, Epoch))
    return;
  schedule(500ms, [=, this] { pullLoop(Index, Epoch); });
  if (!isRunning(Index))
    return;
  Node &Target = node(Index);
  const std::size_t First = Target.Zone_ * PerZone_;
  for (std::size_t ZonePeer = First; ZonePeer < First + PerZone_; ++ZonePeer)
    if (ZonePeer != Index)
      pull(Index, ZonePeer);
  if (Target.Agent_->isTableUnreachable(Now_))
    for (std::size_t Zone = 0; Zone < Nodes_.size() / PerZone_; ++Zone)
      if (Zone != Target.Zone_)
        pull(Index, Zone * PerZone_ + Random_.below(PerZone_));
  schedule(400ms, [=, this] {
    if (isCurrent(Index, Epoch))
      node(Index).Agent_->completePullRound();
  });
}

void Fleet::pull(std::size_t Index, std::size_t Peer) {
  const std::uint64_t Epoch = node(Index).Epoch_;
  const TimePoint RequestSentAt = Now_;
  const PullRequest Request = node(Index).Agent_->pullRequest(Now_);
  schedule(delay(), [=, this] {
    if (!isRunning(Peer) || !canReach(Index, Peer) ||
        Random_.chance(LossProbability_))
      return;
    const PullReply Reply = node(Peer).Agent_->answer(Request, Now_);
    schedule(delay(), [=, this] {
      if (!isCurrent(Index, Epoch) || !isRunning(Index) ||
          !canReach(Index, Peer))
        return;
      node(Index).Agent_->applyPullReply(Reply, RequestSentAt);
      if (node(Index).Agent_->needsSnapshot())
        fetchSnapshot(node(Index), node(Peer));
    });
  });
}

void Fleet::fetchSnapshot(Node &Target, Node &Peer) {
  SnapshotAssembler Assembler;
  for (int Page = 0; Page < 10 && Peer.Alive_; ++Page) {
    const auto Records =
        Assembler.addPage(Peer.Agent_->answer(Assembler.nextRequest(), Now_));
    if (Records)
      Target.Agent_->install(*Records);
  }
}

void Fleet::intentLoop(std::size_t Index, std::uint64_t Epoch) {
  if (!isCurrent(Index, Epoch))
    return;
  schedule(100ms, [=, this] { intentLoop(Index, Epoch); });
  ChangeProposal *Proposal = node(Index).Agent_->proposal();
  if (!isRunning(Index) || !Proposal)
    return;
  const IntentRequest Request{node(Index).Id_, Proposal->base()};
  for (const base::VmIdentity &Member : Proposal->membersToNotify())
    for (std::size_t Peer = 0; Peer < Nodes_.size(); ++Peer)
      if (node(Peer).Id_.address() == Member.address())
        schedule(delay(), [=, this] {
          if (!isRunning(Peer) || !canReach(Index, Peer) ||
              Random_.chance(LossProbability_))
            return;
          const IntentReply Reply = node(Peer).Agent_->answer(Request, Now_);
          schedule(delay(), [=, this] {
            if (!isCurrent(Index, Epoch) || !isRunning(Index))
              return;
            ChangeProposal *Present = node(Index).Agent_->proposal();
            if (Present && Present->base() == Request.BaseRevision_)
              Present->recordReply(Member, Reply);
          });
        });
}

bool Fleet::propose(std::size_t Index, const std::string &Operation,
                    std::vector<config::RecordChange> Changes) {
  if (!isRunning(Index))
    return false;
  return node(Index)
      .Agent_->propose(config::OperationId(Operation), std::move(Changes), Now_)
      .has_value();
}

bool Fleet::accepts(std::size_t Index, const std::string &Key) const {
  const Node &Target = *Nodes_[Index];
  return isRunning(Index) && Target.Agent_->isReady() &&
         Target.Freshness_->isFresh(Now_) &&
         Target.Keys_->Names_.count(Key) != 0;
}

} // namespace ebony::configagent::test
