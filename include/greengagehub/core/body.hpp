#pragma once

#include "greengagehub/core/byte_budget.hpp"

#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstddef>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace greengagehub {

/// \brief The bytes of a body while it is received.
class BodyBuffer
{
public:
  [[nodiscard]] std::size_t Size() const noexcept { return m_size; }
  /// \returns Bytes that can be appended without an allocation.
  [[nodiscard]] std::size_t Room() const noexcept
  {
    return m_capacity - m_size;
  }
  [[nodiscard]] std::string_view View() const noexcept
  {
    return { m_bytes.get(), m_size };
  }

  /// \brief Adds capacity, which is not doubled: large blocks grow by moving
  /// their pages.
  /// \param aReservation of these bytes; empty where no budget applies.
  void AddRoom(std::size_t aBytes, ByteReservation aReservation);
  /// \brief Appends bytes; allocates what exceeds Room().
  void Append(std::string_view aBytes);
  void Clear() noexcept { *this = {}; }

private:
  struct Free
  {
    void operator()(char* aBytes) const noexcept { std::free(aBytes); }
  };

  std::unique_ptr<char, Free> m_bytes;
  std::size_t m_size{ 0 };
  std::size_t m_capacity{ 0 };
  ByteReservation m_reservation;
};

/// \brief The immutable bytes of a complete body. Copies share them.
class Body
{
public:
  Body() noexcept = default;
  explicit Body(BodyBuffer aBuffer)
    : m_shared(aBuffer.Size() > 0 ? new Shared{ std::move(aBuffer) } : nullptr)
  {
  }
  /// Copies bytes that belong to no budget.
  Body(std::string_view aBytes);
  Body(const std::string& aBytes)
    : Body(std::string_view{ aBytes })
  {
  }
  Body(const char* aBytes)
    : Body(std::string_view{ aBytes })
  {
  }

  [[nodiscard]] std::string_view View() const noexcept
  {
    return m_shared ? m_shared->m_buffer.View() : std::string_view{};
  }
  operator std::string_view() const noexcept { return View(); }
  [[nodiscard]] const char* Data() const noexcept { return View().data(); }
  [[nodiscard]] std::size_t Size() const noexcept { return View().size(); }
  [[nodiscard]] bool IsEmpty() const noexcept { return View().empty(); }

  [[nodiscard]] friend bool operator==(const Body& aLeft,
                                       const Body& aRight) noexcept
  {
    return aLeft.View() == aRight.View();
  }

private:
  struct Shared : public boost::intrusive_ref_counter<Shared>
  {
    explicit Shared(BodyBuffer aBuffer) noexcept
      : m_buffer(std::move(aBuffer))
    {
    }
    BodyBuffer m_buffer;
  };

  boost::intrusive_ptr<const Shared> m_shared;
};

}
