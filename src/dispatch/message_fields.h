#ifndef GCW_DISPATCH_MESSAGE_FIELDS_H_
#define GCW_DISPATCH_MESSAGE_FIELDS_H_

#include "gcw/dispatch/messages.h"
#include "nlohmann/json.hpp"
#include "src/dispatch/cbor_fields.h"

namespace gcw::dispatch {

// Converts messages to and from CBOR maps. Messages between daemons embed these
// maps. Errors go to the reader. Thread-safe.
nlohmann::json ToFields(const Request& request);
nlohmann::json ToFields(const AnswerPart& part);
Request ReadRequest(FieldReader& reader);
AnswerPart ReadAnswerPart(FieldReader& reader);

// Reads a result code. An unknown code is an error of `reader`.
ResultCode ReadCode(FieldReader& reader, const char* name);

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_MESSAGE_FIELDS_H_
