// Tests of the adapter on short transcripts of its line protocol.
#include "adapter/wire.hpp"

#include <gtest/gtest.h>
#include <simdjson.h>
#include <unistd.h>

#include <cstdio>
#include <string>

namespace lotuslead::wire {
namespace {

const std::string kUpEvent =
    R"({"what":"up","who":3,"salt":5,"info":{"zone":"e","zones":["h","e"],"shapes":["box","parent","origin"],)"
    R"("unknownKey":{"a":[1]},"balancers":1,"categories":[{"name":"pages","aim":250000000,"aimStretch":2.0,)"
    R"("hardLimit":3000000000,"effect":"free","group":"all","value":1.0}],"weights":"nominal",)"
    R"("allowed":{"mostTries":4,"mayCancel":true,"secondCopies":true,"retryAfter":true,)"
    R"("maxRetryAfter":1000000000},"extra":{"direct":true,"flowKbPerS":1000.0,"joins":true,"parentKind":1,)"
    R"("originKind":2,"purgeSettles":6000000000,"siblings":"any","noteLevel":"all"}}})";
const std::string kManifestEvent =
    R"({"what":"manifest","sheet":0,"rowsIn":[)"
    R"({"classOfHost":"box","host":"10.0.0.1:1","bootTime":null,"heft":5,"readiness":1,"campus":"e","pod":0},)"
    R"({"classOfHost":"parent","host":"10.0.0.2:1","bootTime":0,"heft":20,"readiness":1,"campus":"h","pod":0},)"
    R"({"classOfHost":"origin","host":"10.0.0.3:1","heft":1,"readiness":1,"campus":"h","pod":0}]})";
const std::string kMembersEvent = R"({"what":"members","who":3,"form":2,"sheet":0,"index":1})";

std::string request(const std::string& id, const std::string& object = "obj:a") {
    return R"({"what":"req","who":3,"id":")" + id + R"(","profile":"pages","party":null,"object":")" +
           object + R"(","notAfter":9000000000,"kb":50,"group":1,"part":0,"resent":false,"update":false})";
}

std::string batch(int turn, std::initializer_list<std::string> events) {
    std::string text = R"({"what":"sync","now":)" + std::to_string(7000000000 + turn) + R"(,"turn":)" +
                       std::to_string(turn) + "}\n";
    for (const std::string& event : events) text += event + "\n";
    return text + "{\"what\":\"yourTurn\"}\n";
}

struct AdapterRun {
    int exitCode = -1;
    std::string output, errors;
};

std::string contents(std::FILE* file) {
    std::string text;
    std::rewind(file);
    for (int c; (c = std::fgetc(file)) != EOF;) text += static_cast<char>(c);
    std::fclose(file);
    return text;
}

AdapterRun runAdapter(const std::string& input) {
    std::FILE* in = std::tmpfile();
    std::FILE* out = std::tmpfile();
    std::FILE* errors = std::tmpfile();
    std::fwrite(input.data(), 1, input.size(), in);
    std::fflush(in);
    ::lseek(::fileno(in), 0, SEEK_SET);
    AdapterRun run;
    run.exitCode = serve(::fileno(in), out, errors);
    std::fclose(in);
    run.output = contents(out);
    run.errors = contents(errors);
    return run;
}

TEST(Wire, EmptyBatch) {
    const AdapterRun p = runAdapter(batch(1, {}));
    EXPECT_EQ(p.exitCode, 0);
    EXPECT_EQ(p.output, "{\"what\":\"next\",\"turn\":1}\n");
}

TEST(Wire, ARequestIsSentAndEnds) {
    const AdapterRun p = runAdapter(
        batch(1, {kUpEvent, kManifestEvent, kMembersEvent, request("00000000000000ab")}) +
        batch(
            2,
            {R"({"what":"response","who":3,"id":"00000000000000ab","roundNo":0,"host":"10.0.0.1:1",)"
             R"("disposition":"S","costTime":18500000,"over":true,"note":1,"pressure":{"rif":7,"x1":1}})"}));
    EXPECT_EQ(p.exitCode, 0) << p.errors;
    EXPECT_NE(p.output.find(R"({"what":"deliverVia","who":3,"id":"00000000000000ab","host":"10.0.0.1:1")"),
              std::string::npos)
        << p.output;
    EXPECT_NE(p.output.find(R"("source":"10.0.0.2:1","holdRank":0,"howOld":0,"switches":1})"),
              std::string::npos)
        << p.output;
    EXPECT_EQ(p.output.substr(p.output.rfind("{\"what\":\"next\"")), "{\"what\":\"next\",\"turn\":2}\n");
}

TEST(Wire, RestartWithinOneBatchDropsAllState) {
    const AdapterRun p =
        runAdapter(batch(1, {kUpEvent, kManifestEvent, kMembersEvent, request("00000000000000ab")}) +
                   batch(2, {R"({"what":"retire","who":3})", kUpEvent, kMembersEvent,
                             R"({"what":"cancelledByClient","who":3,"id":"00000000000000ab"})"}));
    EXPECT_EQ(p.exitCode, 0) << p.errors;
    EXPECT_EQ(p.output.find("abandon"), std::string::npos);
}

TEST(Wire, ReusedListNumberRefersToTheNewestList) {
    const std::string empty = R"({"what":"manifest","sheet":0,"rowsIn":[]})";
    const std::string full = R"({"what":"members","who":3,"form":1,"sheet":0,"index":2})";
    const AdapterRun p = runAdapter(
        batch(1, {kUpEvent, kManifestEvent, kMembersEvent, empty, full, request("00000000000000ab")}));
    EXPECT_EQ(p.exitCode, 0) << p.errors;
    EXPECT_NE(p.output.find(R"({"what":"deny","who":3,"id":"00000000000000ab","retryIn":)"),
              std::string::npos);
}

TEST(Wire, DeltaChangesOnlyListedHosts) {
    const std::string delta =
        R"({"what":"manifest","sheet":1,"rowsIn":[{"classOfHost":"box","host":"10.0.0.1:1",)"
        R"("heft":5,"readiness":2,"campus":"e","pod":0}]})";
    const std::string members = R"({"what":"members","who":3,"form":0,"sheet":1,"index":2})";
    const AdapterRun p = runAdapter(
        batch(1, {kUpEvent, kManifestEvent, kMembersEvent, delta, members, request("00000000000000ab")}));
    EXPECT_EQ(p.exitCode, 0) << p.errors;
    EXPECT_NE(p.output.find(R"("host":"10.0.0.2:1")"), std::string::npos) << p.output;
    EXPECT_EQ(p.output.find("10.0.0.1:1"), std::string::npos);
}

TEST(Wire, FailedDiscoveryCallKeepsTheList) {
    const std::string failed = R"({"what":"members","who":3,"form":3,"sheet":0,"index":0})";
    const AdapterRun p =
        runAdapter(batch(1, {kUpEvent, kManifestEvent, kMembersEvent, failed, request("00000000000000ab")}));
    EXPECT_EQ(p.exitCode, 0) << p.errors;
    EXPECT_NE(p.output.find("deliverVia"), std::string::npos);
}

TEST(Wire, EventsForEndedRequestsAreIgnored) {
    const AdapterRun p = runAdapter(batch(
        1,
        {kUpEvent, R"({"what":"cancelledByClient","who":3,"id":"00000000000000ff"})",
         R"({"what":"wakeup","who":3,"handle":77})", R"({"what":"heard","who":3,"neighbour":1,"data":"x"})",
         R"({"what":"established","who":3,"id":"00000000000000ff","roundNo":0,"host":"h","costTime":1})",
         R"({"what":"health","who":3,"costTime":1,"host":"h","disposition":"S"})",
         R"({"what":"withdrawnCopy","who":3,"howOld":5,"object":0,"setNo":11})",
         R"({"what":"response","who":3,"id":"00000000000000ff","roundNo":0,"host":"h","disposition":"T",)"
         R"("costTime":1,"over":false})"}));
    EXPECT_EQ(p.exitCode, 0) << p.errors;
    EXPECT_EQ(p.output, "{\"what\":\"next\",\"turn\":1}\n");
}

TEST(Wire, ReadsLargeBatchesCompletely) {
    std::string text = R"({"what":"sync","now":7000000000,"turn":1})" + std::string("\n") + kUpEvent + "\n" +
                       kManifestEvent + "\n" + kMembersEvent + "\n";
    char id[17];
    for (int i = 1; i <= 20000; ++i) {
        std::snprintf(id, sizeof id, "%016x", static_cast<unsigned>(i));
        text += request(id, "obj:" + std::to_string(i)) + "\n";
    }
    const AdapterRun p = runAdapter(text + "{\"what\":\"yourTurn\"}\n");
    EXPECT_EQ(p.exitCode, 0) << p.errors;
    std::size_t answered = 0;
    for (std::size_t at = 0; (at = p.output.find("\"id\":", at)) != std::string::npos; ++at) ++answered;
    EXPECT_GE(answered, 20000u);
}

class MalformedInput : public ::testing::TestWithParam<const char*> {};

TEST_P(MalformedInput, IsReportedWithItsLineAndEndsTheAdapter) {
    const AdapterRun p = runAdapter(batch(1, {kUpEvent, kManifestEvent, kMembersEvent, GetParam()}));
    EXPECT_NE(p.exitCode, 0);
    EXPECT_EQ(p.errors.rfind("lotuslead_adapter: line 5: ", 0), 0u) << p.errors;
}

INSTANTIATE_TEST_SUITE_P(
    Lines, MalformedInput,
    ::testing::Values(
        "nonsense", "{\"what\":\"req\"", "[1,2]", "{}", R"({"what":"dance","who":3})",
        R"({"what":"wakeup","who":9,"handle":1})", R"({"what":"wakeup","who":3})",
        R"({"what":"req","who":3,"id":"xyz","profile":"pages","notAfter":1})",
        R"({"what":"req","who":3,"id":"00000000000000aa","profile":"none","notAfter":1})",
        R"({"what":"members","who":3,"form":1,"sheet":99,"index":1})",
        R"({"what":"response","who":3,"id":"00000000000000aa","roundNo":0,"disposition":"Q"})"));

TEST(Wire, InputThatEndsInsideABatchIsAnError) {
    EXPECT_NE(runAdapter("{\"what\":\"sync\",\"now\":1,\"turn\":1}\n").exitCode, 0);
    EXPECT_NE(runAdapter("{\"what\":\"sync\"").exitCode, 0);
}

}  // namespace
}  // namespace lotuslead::wire
