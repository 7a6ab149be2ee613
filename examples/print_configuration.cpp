/**
 * An intended configuration as a program; it prints the document that `bamboomoor apply` reads.
 */
#include "bamboomoor/base/digest.hpp"
#include "bamboomoor/operators/configuration.hpp"

#include <iostream>

using namespace bamboomoor;

int main()
{
    operators::Configuration out;
    out.set({.maxTokens = 16'384, .defaultTokens = 1'024, .queueDeadline = {20'000}});

    // Keys are given by `bamboomoor key add`, and outlive this document. One is listed to show how.
    out.add(config::Organisation{.name = "acme",
        .rate = 20'000,
        .burst = 100'000,
        .keys = {{.id = "first", .hash = base::sha256("bm-example-acme")}}});
    out.add(config::Organisation{.name = "globex", .rate = 5'000, .burst = 50'000, .keys = {}});

    out.add(config::Route{.prefix = "/search", .upstream = "search", .idempotent = true});
    out.add(config::Route{.prefix = "/tickets", .upstream = "tickets", .retention = {3'600'000}, .tokens = 50});
    out.add(config::Route{.prefix = "/docs", .upstream = "docs", .open = true, .idempotent = true, .tokens = 0});

    out.add(config::Model{.name = "writer-8b", .memoryMib = 18'000, .minReplicas = 2});
    out.add(config::Model{.name = "coder-30b", .memoryMib = 62'000, .minReplicas = 2});
    out.add(config::Model{.name = "archive-7b", .memoryMib = 15'000, .resident = false});
    out.add(config::Adapter{.name = "writer-legal", .model = "writer-8b", .memoryMib = 200, .resident = true});
    out.add(config::Version{.model = "writer-8b", .version = "2026-11", .resident = true});

    for (const char *dataCentre : {"north", "south"}) {
        out.add(config::AcceleratorPool{.dataCentre = dataCentre, .count = 2, .memoryMib = 80'000});
    }
    return out.printTo(std::cout, std::cerr);
}
