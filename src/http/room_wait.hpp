#pragma once

#include "greengagehub/core/byte_budget.hpp"

#include <asio/post.hpp>
#include <utility>

namespace greengagehub {

/// \brief Waits for room in a budget.
/// \param aHandler called with the reservation, posted to the executor.
template<class Executor, class Handler>
void
WaitForRoom(ByteBudget& aBudget,
            ByteWaiter& aWaiter,
            std::size_t aBytes,
            ByteUse aUse,
            const Executor& aExecutor,
            Handler aHandler)
{
  aBudget.Wait(aWaiter,
               aBytes,
               aUse,
               [executor = aExecutor,
                handler = std::move(aHandler)](ByteReservation aReservation) {
                 asio::post(
                   executor,
                   [handler, reserved = std::move(aReservation)]() mutable {
                     handler(std::move(reserved));
                   });
               });
}

}
