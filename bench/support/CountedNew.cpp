#include "support/CountedNew.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<uint64_t> sAllocations{ 0 };

} // namespace

uint64_t anvildoor::CountAllocations()
{
  return sAllocations.load(std::memory_order_relaxed);
}

void* operator new(size_t aSize)
{
  sAllocations.fetch_add(1, std::memory_order_relaxed);
  if (void* memory = std::malloc(aSize == 0 ? 1 : aSize)) {
    return memory;
  }
  throw std::bad_alloc();
}

void operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

void operator delete(void* aMemory, size_t) noexcept
{
  std::free(aMemory);
}
