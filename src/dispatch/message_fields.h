#ifndef GCW_DISPATCH_MESSAGE_FIELDS_H_
#define GCW_DISPATCH_MESSAGE_FIELDS_H_

#include "gcw/dispatch/messages.h"
#include "nlohmann/json.hpp"
#include "src/dispatch/cbor_fields.h"

namespace gcw::dispatch {

// The maps of single messages, which messages between daemons hold too.
nlohmann::json ToFields(const Request& request);
nlohmann::json ToFields(const AnswerPart& part);
Request ReadRequest(FieldReader& reader);
AnswerPart ReadAnswerPart(FieldReader& reader);

// Reads a result code, or fails the reader.
ResultCode ReadCode(FieldReader& reader, const char* name);

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_MESSAGE_FIELDS_H_
