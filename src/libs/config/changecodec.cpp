#include "config/changecodec.h"

#include "base/hashing.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace ebony::config {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

std::string toText(const Object &Value) {
  std::ostringstream Out;
  Value.stringify(Out);
  return Out.str();
}

// Parses Text and converts the object with Read; returns a finding if parsing
// or conversion fails.
template <typename T, typename Reader>
base::Checked<T> decode(const char *What, const std::string &Text,
                        Reader Read) {
  try {
    Poco::JSON::Parser Parser;
    return Read(*Parser.parse(Text).extract<Object::Ptr>());
  } catch (const Poco::Exception &Error) {
    return base::Findings{{What, "",
                           "The stored JSON cannot be decoded (" +
                               Error.displayText() +
                               "); check which program wrote it."}};
  }
}

Object toJson(const RecordChange &Change) {
  Object Value;
  Value.set("kind", Change.Id_.Kind_);
  Value.set("name", Change.Id_.Name_);
  if (Change.Text_)
    Value.set("text", *Change.Text_);
  return Value;
}

RecordChange toChange(const Object &Value) {
  RecordChange Change{{Value.getValue<std::string>("kind"),
                       Value.getValue<std::string>("name")},
                      std::nullopt};
  if (Value.has("text"))
    Change.Text_ = Value.getValue<std::string>("text");
  return Change;
}

Array toJson(const std::vector<RecordChange> &Changes) {
  Array All;
  for (const RecordChange &Change : Changes)
    All.add(toJson(Change));
  return All;
}

} // namespace

std::string ChangeCodec::encode(const ChangeSet &Change) {
  Object Value;
  Value.set("revision", Change.Revision_);
  Value.set("operation", Change.Operation_.text());
  Value.set("changes", toJson(Change.Changes_));
  return toText(Value);
}

base::Checked<ChangeSet> ChangeCodec::decodeChange(const std::string &Text) {
  return decode<ChangeSet>("change row", Text, [](const Object &Value) {
    ChangeSet Change{Value.getValue<Revision>("revision"),
                     OperationId(Value.getValue<std::string>("operation")),
                     {}};
    const Array::Ptr All = Value.getArray("changes");
    if (!All)
      throw Poco::DataFormatException("changes are missing");
    for (std::size_t Index = 0; Index < All->size(); ++Index)
      Change.Changes_.push_back(
          toChange(*All->getObject(static_cast<unsigned>(Index))));
    return Change;
  });
}

std::string ChangeCodec::encodeRevision(Revision Number) {
  Object Value;
  Value.set("revision", Number);
  return toText(Value);
}

base::Checked<Revision> ChangeCodec::decodeRevision(const std::string &Text) {
  return decode<Revision>("head row", Text, [](const Object &Value) {
    return Value.getValue<Revision>("revision");
  });
}

std::string ChangeCodec::encodeOperation(const OperationEntry &Entry) {
  Object Value;
  Value.set("revision", Entry.Revision_);
  Value.set("digest", Entry.Digest_);
  return toText(Value);
}

base::Checked<OperationEntry>
ChangeCodec::decodeOperation(const std::string &Text) {
  return decode<OperationEntry>("operation row", Text, [](const Object &Value) {
    return OperationEntry{Value.getValue<Revision>("revision"),
                          Value.getValue<std::string>("digest")};
  });
}

std::string ChangeCodec::encodeSnapshot(const RecordSet &Records) {
  std::ostringstream Out;
  Object Header;
  Header.set("revision", Records.revision());
  Header.set("records", Records.size());
  Header.stringify(Out);
  Out << '\n';
  Records.visit([&Out](const Record &Entry) {
    Object Line = toJson(RecordChange{Entry.id(), Entry.text()});
    Line.set("since", Entry.lastChangedRevision());
    Line.stringify(Out);
    Out << '\n';
  });
  return Out.str();
}

base::Checked<RecordSet> ChangeCodec::decodeSnapshot(const std::string &Text) {
  std::istringstream In(Text);
  std::string Line;
  std::getline(In, Line);
  std::size_t Expected = 0;
  const auto SnapshotRevision =
      decode<Revision>("snapshot", Line, [&Expected](const Object &Value) {
        Expected = Value.getValue<std::size_t>("records");
        return Value.getValue<Revision>("revision");
      });
  if (!SnapshotRevision)
    return SnapshotRevision.error();
  std::vector<RecordPtr> Records;
  while (std::getline(In, Line)) {
    auto Decoded = decode<RecordPtr>("snapshot", Line, [](const Object &Value) {
      const RecordChange Change = toChange(Value);
      return RecordPtr(new Record(Change.Id_, Change.Text_.value_or(""),
                                  Value.getValue<Revision>("since")));
    });
    if (!Decoded)
      return Decoded.error();
    Records.push_back(std::move(Decoded).value());
  }
  if (Records.size() != Expected)
    return base::Findings{
        {"snapshot", "records",
         "The snapshot is truncated; read it again or use an older one."}};
  return RecordSet(SnapshotRevision.value(), Records);
}

std::string ChangeCodec::digest(const std::vector<RecordChange> &Changes) {
  std::ostringstream Out;
  toJson(Changes).stringify(Out);
  const std::string Text = Out.str();
  return std::to_string(base::stableHash(Text, 1)) + "-" +
         std::to_string(base::stableHash(Text, 2));
}

} // namespace ebony::config
