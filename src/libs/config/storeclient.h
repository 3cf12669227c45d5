#ifndef EBONY_CONFIG_STORECLIENT_H
#define EBONY_CONFIG_STORECLIENT_H

#include "config/objectstore.h"
#include "config/storerequest.h"
#include "config/tableservice.h"

namespace ebony::config {

/// Performs store requests on the platform's services. An object that was read
/// is returned as the value of one row with version 1.
class StoreClient {
public:
  StoreClient(TableService &Table, ObjectStore &Objects)
      : Table_(Table), Objects_(Objects) {}

  TableReply perform(const StoreRequest &Request);

private:
  TableReply transact(const StoreRequest &Request);
  TableReply row(const StoreRequest &Request);
  TableReply scan(const StoreRequest &Request);
  TableReply putObject(const StoreRequest &Request);
  TableReply getObject(const StoreRequest &Request);

  TableService &Table_;
  ObjectStore &Objects_;
};

} // namespace ebony::config

#endif
