#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace greengagehub {

/// \brief Rows in contiguous storage with stable indices.
///
/// An index is valid until its row is erased and is then reused.
template<class Row>
class Table
{
public:
  using Index = std::uint32_t;

  [[nodiscard]] std::size_t Size() const noexcept { return m_used; }
  /// \returns Upper bound of all indices, including free ones.
  [[nodiscard]] Index Capacity() const noexcept
  {
    return static_cast<Index>(m_rows.size());
  }
  [[nodiscard]] bool Contains(Index aIndex) const noexcept
  {
    return aIndex < m_rows.size() && m_rows[aIndex].m_inUse;
  }
  [[nodiscard]] Row& At(Index aIndex) noexcept { return m_rows[aIndex].m_row; }
  [[nodiscard]] const Row& At(Index aIndex) const noexcept
  {
    return m_rows[aIndex].m_row;
  }

  Index Insert(Row aRow)
  {
    ++m_used;
    if (!m_free.empty()) {
      const Index index = m_free.back();
      m_free.pop_back();
      m_rows[index] = Slot{ std::move(aRow), true };
      return index;
    }
    m_rows.push_back(Slot{ std::move(aRow), true });
    return static_cast<Index>(m_rows.size() - 1);
  }

  void Erase(Index aIndex)
  {
    m_rows[aIndex] = Slot{};
    m_free.push_back(aIndex);
    --m_used;
  }

  /// \brief Calls `aVisitor(index, row)` for each row in use.
  template<class Visitor>
  void Each(Visitor&& aVisitor)
  {
    for (Index index = 0; index < m_rows.size(); ++index) {
      if (m_rows[index].m_inUse) {
        aVisitor(index, m_rows[index].m_row);
      }
    }
  }
  template<class Visitor>
  void Each(Visitor&& aVisitor) const
  {
    for (Index index = 0; index < m_rows.size(); ++index) {
      if (m_rows[index].m_inUse) {
        aVisitor(index, m_rows[index].m_row);
      }
    }
  }

private:
  struct Slot
  {
    Row m_row{};
    bool m_inUse{ false };
  };

  std::vector<Slot> m_rows;
  std::vector<Index> m_free;
  std::size_t m_used{ 0 };
};

}
