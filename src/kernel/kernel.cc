#include "gcw/kernel/kernel.h"

#include <fmt/format.h>

#include <map>

namespace gcw::kernel {
namespace {

struct Entry {
  std::type_index type;
  std::shared_ptr<void> sink;
};

}  // namespace

class Kernel::Impl {
 public:
  mutable absl::Mutex mutex;
  std::map<std::string, Entry, std::less<>> services ABSL_GUARDED_BY(mutex);
};

Kernel::Kernel() : impl_(std::make_unique<Impl>()) {}
Kernel::~Kernel() = default;

void Kernel::Unregister(std::string_view name) {
  absl::MutexLock lock(&impl_->mutex);
  const auto it = impl_->services.find(name);
  if (it != impl_->services.end()) {
    impl_->services.erase(it);
  }
}

Status Kernel::RegisterErased(std::string_view name,
                              std::type_index type,
                              std::shared_ptr<void> sink) {
  absl::MutexLock lock(&impl_->mutex);
  const auto [it, added] = impl_->services.try_emplace(
      std::string(name), Entry{type, std::move(sink)});
  if (!added) {
    return Error{ResultCode::kInternal, "",
                 fmt::format("service '{}' is already registered", name)};
  }
  return OkStatus();
}

Result<std::shared_ptr<void>> Kernel::FindErased(std::string_view name,
                                                 std::type_index type) const {
  absl::MutexLock lock(&impl_->mutex);
  const auto it = impl_->services.find(name);
  if (it == impl_->services.end()) {
    return Error{ResultCode::kNotFound, "",
                 fmt::format("service '{}' is not registered", name)};
  }
  if (it->second.type != type) {
    return Error{ResultCode::kInternal, "",
                 fmt::format("service '{}' takes another message type", name)};
  }
  return it->second.sink;
}

}  // namespace gcw::kernel
