// A map of bounded size with least-recently-used eviction.
#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>
#include <utility>

namespace lotuslead {

template <class Key, class Value>
class LruMap {
public:
    explicit LruMap(std::size_t capacity) : capacity_(capacity) {}

    // Marks the key as the most recently used and adds it if absent. Returns its value and whether it was
    // present.
    std::pair<Value&, bool> touch(const Key& key) {
        const auto found = index_.find(key);
        if (found != index_.end()) {
            items_.splice(items_.begin(), items_, found->second);
            return {items_.front().second, true};
        }
        if (items_.size() >= capacity_ && !items_.empty()) {
            index_.erase(items_.back().first);
            items_.pop_back();
        }
        items_.emplace_front(key, Value{});
        index_.emplace(key, items_.begin());
        return {items_.front().second, false};
    }

    // The value of the key without marking it as used; null if it is absent.
    const Value* find(const Key& key) const {
        const auto found = index_.find(key);
        return found == index_.end() ? nullptr : &found->second->second;
    }

    // Visits all items, least recently used first.
    template <class Visit>
    void fromOldest(Visit visit) const {
        for (auto it = items_.rbegin(); it != items_.rend(); ++it) visit(it->first, it->second);
    }

    std::size_t size() const { return items_.size(); }

private:
    std::size_t capacity_;
    std::list<std::pair<Key, Value>> items_;
    std::unordered_map<Key, typename std::list<std::pair<Key, Value>>::iterator> index_;
};

}  // namespace lotuslead
