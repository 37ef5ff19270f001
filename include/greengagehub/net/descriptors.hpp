#pragma once

#include <cstddef>

namespace greengagehub {

/// \returns Descriptors that the system lets this process open.
[[nodiscard]] std::size_t
ProcessDescriptorLimit() noexcept;

}
