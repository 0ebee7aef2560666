// Sums over a sliding time window, and exponentially decaying rates and means.
#pragma once

#include <chrono>
#include <cmath>
#include <deque>
#include <utility>

namespace lotuslead {

// The sum of the amounts added within the last `window`.
class WindowSum {
public:
    using Time = std::chrono::nanoseconds;

    void add(Time now, double amount) {
        items_.emplace_back(now, amount);
        sum_ += amount;
    }

    double over(Time now, Time window) {
        while (!items_.empty() && items_.front().first + window <= now) {
            sum_ -= items_.front().second;
            items_.pop_front();
        }
        if (items_.empty()) sum_ = 0;
        return sum_;
    }

private:
    std::deque<std::pair<Time, double>> items_;
    double sum_ = 0;
};

// An exponentially decaying rate: amounts per second, with the time constant `span`.
class DecayingRate {
public:
    using Time = std::chrono::nanoseconds;

    void add(Time now, Time span, double amount) {
        decay(now, span);
        sum_ += amount;
    }

    double perSecond(Time now, Time span) {
        decay(now, span);
        return sum_ / std::chrono::duration<double>(span).count();
    }

private:
    void decay(Time now, Time span) {
        if (now > at_) {
            const std::chrono::duration<double> passed = now - at_;
            sum_ *= std::exp(-passed.count() / std::chrono::duration<double>(span).count());
            at_ = now;
        }
    }

    Time at_{};
    double sum_ = 0;
};

// The exponentially weighted mean over time of a value that changes in steps, with the time constant `span`.
class DecayingMean {
public:
    using Time = std::chrono::nanoseconds;

    void set(Time now, Time span, double value) {
        mean_ = mean(now, span);
        at_ = now;
        value_ = value;
    }

    double mean(Time now, Time span) const {
        const std::chrono::duration<double> passed = now - at_;
        return value_ +
               (mean_ - value_) * std::exp(-passed.count() / std::chrono::duration<double>(span).count());
    }

private:
    Time at_{};
    double mean_ = 0, value_ = 0;
};

}  // namespace lotuslead
