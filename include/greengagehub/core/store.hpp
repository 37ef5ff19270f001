#pragma once

#include "greengagehub/core/store_message.hpp"

#include <concepts>
#include <functional>

namespace greengagehub {

using StoreDone = std::function<void(StoreReply)>;

/// \brief The platform's key-value store, as the daemon uses it. Only a type
/// that models this knows the form of an actual store.
template<class T>
concept Store = requires(T aStore, StoreRequest aRequest, StoreDone aDone)
{
  aStore.Carry(std::move(aRequest), std::move(aDone));
};

}
