#ifndef SRC_LAB_EVENT_READER_H_
#define SRC_LAB_EVENT_READER_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/config/object_reader.h"
#include "src/lab/scenario.h"

namespace gcw::lab {

// Reads an optional field in milliseconds, at least `least`. Not thread-safe.
void ReadDuration(config::ObjectReader& reader,
                  std::string_view key,
                  absl::Duration least,
                  absl::Duration* target);
// Reads an optional number from 0 to 1. Not thread-safe.
void ReadShare(config::ObjectReader& reader,
               std::string_view key,
               double* target);

// The service that a role ("main", "small", "other") or a name means.
// Thread-safe.
std::string ResolveService(const Topology& topology, const std::string& name);

// Reads one event; names are looked up in `topology`. Wrong fields are added
// to `errors`. Thread-safe.
Event ReadEvent(const nlohmann::json& value,
                std::string path,
                const Topology& topology,
                std::vector<Error>* errors);

}  // namespace gcw::lab

#endif  // SRC_LAB_EVENT_READER_H_
