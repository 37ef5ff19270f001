#include "greengagehub/core/body.hpp"

#include <cstring>
#include <new>

namespace greengagehub {

void
BodyBuffer::AddRoom(std::size_t aBytes, ByteReservation aReservation)
{
  m_reservation.Add(std::move(aReservation));
  if (aBytes == 0) {
    return;
  }
  auto* grown =
    static_cast<char*>(std::realloc(m_bytes.get(), m_capacity + aBytes));
  if (grown == nullptr) {
    throw std::bad_alloc{};
  }
  static_cast<void>(m_bytes.release());
  m_bytes.reset(grown);
  m_capacity += aBytes;
}

void
BodyBuffer::Append(std::string_view aBytes)
{
  if (aBytes.empty()) {
    return;
  }
  if (aBytes.size() > Room()) {
    AddRoom(aBytes.size() - Room(), {});
  }
  std::memcpy(m_bytes.get() + m_size, aBytes.data(), aBytes.size());
  m_size += aBytes.size();
}

Body::Body(std::string_view aBytes)
{
  BodyBuffer buffer;
  buffer.Append(aBytes);
  *this = Body{ std::move(buffer) };
}

}
