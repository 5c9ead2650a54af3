#ifndef SRC_LAB_EVENT_READER_H_
#define SRC_LAB_EVENT_READER_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/config/object_reader.h"
#include "src/lab/scenario.h"

namespace gcw::lab {

// Reads the optional field `key`, a number of milliseconds of at least `min`,
// into `target`; an absent field leaves `target` unchanged. Not thread-safe.
void ReadDuration(config::ObjectReader& reader,
                  std::string_view key,
                  absl::Duration min,
                  absl::Duration* target);
// Reads the optional field `key`, a number from 0 to 1, into `target`; an
// absent field leaves `target` unchanged. Not thread-safe.
void ReadShare(config::ObjectReader& reader,
               std::string_view key,
               double* target);

// Returns the name of the service in `topology` that has the role `name`
// ("main", "small" or "other"); any other name is returned unchanged.
// Thread-safe.
std::string ResolveService(const Topology& topology, const std::string& name);

// Reads the event `value`, found at `path` in the scenario. Names of servers,
// daemons, zones and services are looked up in `topology`. Appends an error to
// `errors` for each invalid field. Thread-safe for distinct `errors`.
Event ReadEvent(const nlohmann::json& value,
                std::string path,
                const Topology& topology,
                std::vector<Error>* errors);

}  // namespace gcw::lab

#endif  // SRC_LAB_EVENT_READER_H_
