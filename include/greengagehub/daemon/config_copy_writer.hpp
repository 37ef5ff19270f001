#pragma once

#include "greengagehub/config/config_copy.hpp"
#include "greengagehub/core/store.hpp"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <string>

namespace greengagehub {

/// \brief Writes the compressed copy of the operators' configuration document,
/// at most once in an interval.
template<Store StoreType>
class ConfigCopyWriter
{
public:
  /// Smallest document that is copied; below it, reading the original is as
  /// fast as reading the copy and checking it.
  static constexpr std::size_t kMinCopiedBytes = 16UL * 1024;

  /// \param aInterval shortest time between two writes; the first one is not
  /// delayed.
  ConfigCopyWriter(asio::io_context& aLoop,
                   StoreType& aStore,
                   std::chrono::milliseconds aInterval)
    : m_store(aStore)
    , m_timer(aLoop)
    , m_interval(aInterval)
  {
  }

  /// \brief Sets whether this daemon writes the copy.
  void SetMaintaining(bool aMaintains)
  {
    const bool isStart = aMaintains && !m_isMaintaining;
    m_isMaintaining = aMaintains;
    if (isStart) {
      Schedule();
    }
  }
  [[nodiscard]] bool IsMaintaining() const noexcept { return m_isMaintaining; }
  [[nodiscard]] bool HasDocument() const noexcept
  {
    return !m_document.empty();
  }

  /// \param aText the newest document, which had this revision.
  void OnDocument(std::string aText, Revision aRevision)
  {
    m_document = std::move(aText);
    m_documentRevision = aRevision;
    Schedule();
  }

private:
  using SteadyClock = asio::steady_timer::clock_type;

  void Schedule()
  {
    if (!m_isMaintaining || m_isScheduled ||
        m_document.size() < kMinCopiedBytes) {
      return;
    }
    m_isScheduled = true;
    m_next = std::max(m_next, SteadyClock::now());
    m_timer.expires_at(m_next);
    m_next += m_interval;
    m_timer.async_wait([this](const asio::error_code& aError) {
      m_isScheduled = false;
      if (!aError && m_isMaintaining) {
        Write(true);
      }
    });
  }

  /// \param aRetryOnConflict whether to write once more with the revision that
  /// a conflict reports.
  void Write(bool aRetryOnConflict)
  {
    m_store.Execute(MakePut(std::string{ kConfigCopyKey },
                            FormatConfigCopy(m_documentRevision, m_document),
                            m_copyRevision),
                    [this, aRetryOnConflict](const StoreReply& aReply) {
                      using Status = StoreReply::Status;
                      const bool conflict = aReply.m_status == Status::Conflict;
                      if (!conflict && aReply.m_status != Status::Ok) {
                        Schedule();
                        return;
                      }
                      m_copyRevision = aReply.m_revision;
                      if (conflict && aRetryOnConflict) {
                        Write(false);
                      }
                    });
  }

  StoreType& m_store;
  asio::steady_timer m_timer;
  std::chrono::milliseconds m_interval;
  SteadyClock::time_point m_next{};
  std::string m_document;
  Revision m_documentRevision{ 0 };
  Revision m_copyRevision{ 0 };
  bool m_isMaintaining{ false };
  bool m_isScheduled{ false };
};

}
