#ifndef EBONY_VM_KNOWLEDGE_H
#define EBONY_VM_KNOWLEDGE_H

#include "vm/tablefollower.h"

#include <memory>

namespace ebony::vm {

/// Keeps what the VM knows of the configuration, the evacuated zones and the
/// upstreams in step with the store.
class Knowledge {
public:
  explicit Knowledge(VmState &State);

  /// Starts following; runs until the process ends.
  void start();

private:
  void replaceOperatorRows(const std::vector<store::Row> &Rows);
  void changeOperatorRows(const std::vector<store::Row> &Rows);
  void takeConfiguration(const store::Row &Row);
  void applyEvacuations();
  void replaceUpstreams(const std::vector<store::Row> &Rows);
  void changeUpstreams(const std::vector<store::Row> &Rows);
  void putUpstream(const store::Row &Row);
  base::Duration longestColdSpan() const;

  VmState &State_;
  TableFollower Operators_;
  TableFollower Upstreams_;
  std::set<base::ZoneName> Evacuated_;
};

} // namespace ebony::vm

#endif
