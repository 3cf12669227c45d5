#ifndef EBONY_CONFIG_RECORD_H
#define EBONY_CONFIG_RECORD_H

#include "config/recordid.h"
#include "config/revision.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <utility>

namespace ebony::config {

/// Immutable record, shared by all snapshots that contain it.
class Record final : public boost::intrusive_ref_counter<Record> {
public:
  Record(RecordId Id, std::string Text, Revision LastChangedRevision)
      : Id_(std::move(Id)), Text_(std::move(Text)),
        LastChangedRevision_(LastChangedRevision) {}

  const RecordId &id() const { return Id_; }
  const std::string &text() const { return Text_; }

  /// Returns the revision that last changed this record.
  Revision lastChangedRevision() const { return LastChangedRevision_; }

  friend bool operator==(const Record &Left, const Record &Right) {
    return Left.Id_ == Right.Id_ && Left.Text_ == Right.Text_ &&
           Left.LastChangedRevision_ == Right.LastChangedRevision_;
  }

private:
  RecordId Id_;
  std::string Text_;
  Revision LastChangedRevision_;
};

using RecordPtr = boost::intrusive_ptr<const Record>;

} // namespace ebony::config

#endif
