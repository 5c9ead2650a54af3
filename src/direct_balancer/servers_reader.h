#ifndef GCW_DIRECT_BALANCER_SERVERS_READER_H_
#define GCW_DIRECT_BALANCER_SERVERS_READER_H_

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/direct_balancer/feed_reader.h"

namespace gcw::direct_balancer {

// Decodes the entries of backend servers. Caches decoded entries, so that only
// new versions are decoded. Has no I/O. Not thread-safe.
class ServersReader : public FeedReader {
 public:
  // Servers whose entries vanished without a drain are retained for `lifetime`.
  explicit ServersReader(absl::Duration lifetime);

  FeedUpdate OnObjects(std::span<const relay::Object> objects,
                       direct::Version revision,
                       absl::Time now) override;
  FeedUpdate OnRetained(const RetainedMessage& retained,
                        direct::Version revision,
                        absl::Time now) override;
  FeedUpdate OnTick(direct::Version revision, absl::Time now) override;
  std::span<const RetainedBatch> retained() const override;

 private:
  // A server whose report in the store was executed late.
  struct LateReport {
    direct::Version version = 0;   // In the store.
    direct::ServerReportPtr held;  // The latest report by the server's numbers.
    absl::Time since;              // When the first late report was read.
  };
  using LateReports = std::map<std::string, LateReport, std::less<>>;

  // Adds `report` to `late` if it is a late one. `last` is the report that the
  // store had before, or null.
  void NoteIfLate(const direct::ServerReportPtr& report,
                  const direct::ServerReportPtr& last,
                  absl::Time now,
                  LateReports& late) const;

  const absl::Duration lifetime_;
  std::vector<direct::ServerReportPtr> reports_;
  LateReports late_reports_;  // By server.
  RetainedObjects vanished_;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_SERVERS_READER_H_
