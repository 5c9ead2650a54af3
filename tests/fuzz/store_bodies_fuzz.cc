#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "platform/object_format.h"
#include "platform/resource_codec.h"
#include "tests/fuzz/mutate.h"

namespace adapter = gcw::adapter;

namespace {

constexpr std::string_view kConfiguration =
    R"({"version":7,"routes":[{"name":"r","host":"198.18.0.1",)"
    R"("path_prefix":"/8443/","priority":1,"target_latency_ms":9,)"
    R"("traffic_split":[{"service":"a","weight":9}]}],)"
    R"("services":[{"name":"a","max_conns":9,"warmup_per_s":4.5}],)"
    R"("limits":{"idle_timeout_ms":15000}})";
constexpr std::string_view kServer =
    R"({"service":"a","address":"10.0.0.9:80","zone":"z","version":"v1","capacity":3,)"
    R"("state":"ready","warmup_left_ms":1,"sequence":4,"born":17916633})";
constexpr std::string_view kList =
    R"({"items":[{"meta":{"name":"i-1","revision":3},"spec":{"x":1}}],)"
    R"("has_more":false,"store_revision":9})";
constexpr std::string_view kEvents =
    R"({"events":[{"object":{"meta":{"name":"i-1","revision":3},"spec":{}},)"
    R"("removed":false}],"store_revision":9})";

void CheckInput(std::span<const std::uint8_t> bytes) {
  const std::string text(bytes.begin(), bytes.end());
  const auto& format = adapter::ObjectFormat();
  (void)adapter::DecodeConfiguration(text);
  (void)adapter::DecodeServer("i-7f3a", text);
  (void)adapter::DecodeServer(text, kServer);
  (void)format.DecodeListPage(adapter::kServersPrefix, text);
  (void)format.DecodeObject(adapter::kConfigurationKey, text);
  (void)format.DecodeVersion(text);
  (void)format.DecodeWatch(adapter::kServersPrefix, text);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::span input(data, size);
  CheckInput(input);
  for (const std::string_view valid :
       {kConfiguration, kServer, kList, kEvents}) {
    CheckInput(gcw::fuzz::Mutate({valid.begin(), valid.end()}, input));
  }
  return 0;
}
