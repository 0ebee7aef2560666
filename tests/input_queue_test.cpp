// Unit tests of the memory that the clients of the platform's front share, and of the clients that wait for
// it.
#include "platform/input_queue.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace lotuslead::platform {
namespace {

constexpr std::size_t kMemoryBytes = 18 * 1024 * 1024;
constexpr std::size_t kMaxInputBytes = kMemoryBytes / 4;
constexpr std::size_t kReserveBytes = 1024 * 1024;
constexpr std::size_t kMinInputBytes = 4 * 1024;
constexpr std::size_t kClients = 341;
constexpr std::size_t kMaxCompleting = 8;

ClientMemory memoryOf(std::size_t bytes, std::size_t clients) {
    ClientMemory memory;
    memory.setLimits(bytes, clients);
    return memory;
}

// A client that takes as much input as it may.
class TestClient : public InputWaiter {
public:
    explicit TestClient(ClientMemory& memory) : memory_(memory) {}

    std::size_t heldInputBytes() const override { return held; }
    bool inPartialMessage() const override { return partial; }
    bool hasQueuedInput() const override { return queued; }
    bool canCompleteMessage() const override { return queued && complete; }
    void resumeInput() override { ++resumed; }
    void hold(std::size_t bytes) {
        memory_.replace({held, 0, 0}, {bytes, 0, 0});
        held = bytes;
    }

    std::size_t held = 0;
    bool partial = false, queued = true, complete = false;
    int resumed = 0;

private:
    ClientMemory& memory_;
};

TEST(ClientMemory, GreedyClientsLeaveRoomForFurtherOnes) {
    ClientMemory memory = memoryOf(kMemoryBytes, kClients);
    std::vector<TestClient> clients(kClients, TestClient(memory));
    for (int round = 0; round < 100; ++round)
        for (TestClient& client : clients) client.hold(std::max(client.held, memory.inputLimit()));
    EXPECT_LE(memory.usage().input, kMaxInputBytes + kClients * kMinInputBytes);
    EXPECT_GE(memory.inputLimit(), kMinInputBytes);
}

TEST(ClientMemory, OneClientAloneHasAmpleRoom) {
    EXPECT_EQ(memoryOf(kMemoryBytes, kClients).inputLimit(), std::size_t{128 * 1024});
}

TEST(ClientMemory, LargeUsersMayNotTakeTheHalfThatIsLeftForOthers) {
    const ClientMemory memory = memoryOf(kMemoryBytes, kClients);
    EXPECT_EQ(memory.admissionLimit(kMemoryBytes / 2 / kClients), kMemoryBytes);
    EXPECT_EQ(memory.admissionLimit(kMemoryBytes / 2 / kClients + 1), kMemoryBytes / 2);
}

TEST(ClientMemory, BacklogLimitShrinksAsMemoryFills) {
    ClientMemory memory = memoryOf(kMemoryBytes, kClients);
    const std::size_t alone = memory.backlogLimit();
    memory.replace({}, {0, 0, kMemoryBytes - 1024 * 1024});
    EXPECT_EQ(memory.backlogLimit(), std::size_t{128 * 1024});
    memory.replace({}, {0, 0, kMemoryBytes});
    EXPECT_EQ(memory.backlogLimit(), std::size_t{16 * 1024});
    EXPECT_EQ(alone, kMemoryBytes / 16);
}

TEST(ClientMemory, BurstIsOverOnceMostIsFreed) {
    ClientMemory memory = memoryOf(kMemoryBytes, kClients);
    memory.replace({}, {8 * 1024 * 1024, 0, 0});
    EXPECT_FALSE(memory.burstIsOver());
    memory.replace({8 * 1024 * 1024, 0, 0}, {1024 * 1024, 0, 0});
    EXPECT_TRUE(memory.burstIsOver());
    memory.forgetBurst();
    EXPECT_FALSE(memory.burstIsOver());
}

class InputQueueTest : public ::testing::Test {
protected:
    std::shared_ptr<TestClient> waitingClient(std::size_t held, bool partial) {
        auto client = std::make_shared<TestClient>(memory_);
        client->hold(held);
        client->partial = partial;
        queue_.wait(client);
        clients_.push_back(client);
        return client;
    }
    int resumed() const {
        int count = 0;
        for (const auto& client : clients_) count += client->resumed;
        return count;
    }

    ClientMemory memory_ = memoryOf(kMemoryBytes, kClients);
    InputQueue queue_{memory_};
    std::vector<std::shared_ptr<TestClient>> clients_;
};

TEST_F(InputQueueTest, ResumesThoseForWhomThereIsRoom) {
    const auto small = waitingClient(1024, false);
    const auto large = waitingClient(256 * 1024, false);
    queue_.resume();
    EXPECT_EQ(small->resumed, 1);
    EXPECT_EQ(large->resumed, 0);
    large->hold(0);
    queue_.resume();
    EXPECT_EQ(large->resumed, 1);
    EXPECT_TRUE(queue_.empty());
}

// Messages of which each is half there must not stand still.
TEST_F(InputQueueTest, AFewAtATimeMayCompleteTheirMessage) {
    for (std::size_t i = 0; i < 100; ++i) waitingClient(kMaxInputBytes / 100, true);
    queue_.resume();
    EXPECT_EQ(resumed(), static_cast<int>(kMaxCompleting));
    EXPECT_TRUE(queue_.mayComplete(*clients_.front()));
    EXPECT_FALSE(queue_.mayComplete(*clients_.back()));
    queue_.messageCompleted(*clients_.front());
    EXPECT_FALSE(queue_.mayComplete(*clients_.front()));
    queue_.resume();
    EXPECT_EQ(resumed(), static_cast<int>(kMaxCompleting) + 1);
}

TEST_F(InputQueueTest, AStalledClientLosesItsPlaceToTheNext) {
    for (std::size_t i = 0; i < 100; ++i) waitingClient(kMaxInputBytes / 100, true);
    queue_.resume();
    for (const auto& client : clients_) client->queued = client->resumed == 0;
    queue_.resume();
    EXPECT_EQ(resumed(), 2 * static_cast<int>(kMaxCompleting));
}

TEST_F(InputQueueTest, OnceTheReserveIsUsedUpOnlyThoseMayGoOnThatHaveSentTheRest) {
    for (std::size_t i = 0; i < 100; ++i) waitingClient((kMaxInputBytes + kReserveBytes) / 100 + 1, true);
    queue_.resume();
    EXPECT_EQ(resumed(), 0);
    clients_[50]->complete = true;
    queue_.resume();
    EXPECT_EQ(clients_[50]->resumed, 1);
    EXPECT_EQ(resumed(), 1);
}

TEST_F(InputQueueTest, ClientsThatAreGoneAreForgotten) {
    waitingClient(kMaxInputBytes, true);
    clients_.clear();
    queue_.resume();
    EXPECT_TRUE(queue_.empty());
}

}  // namespace
}  // namespace lotuslead::platform
