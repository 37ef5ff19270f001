#pragma once

#include "greengagehub/core/store_message.hpp"

#include <concepts>
#include <functional>

namespace greengagehub {

using StoreDone = std::function<void(StoreReply)>;

/// \brief Client of the platform's key-value store.
template<class T>
concept Store = requires(T aStore, StoreRequest aRequest, StoreDone aDone)
{
  aStore.Execute(std::move(aRequest), std::move(aDone));
};

}
