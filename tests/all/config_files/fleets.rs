//! Invalid fleets and their messages.

use super::{Case, case};

/// Each case with all messages that its check prints.
pub(super) const CASES: &[Case] = &[
    case(
        r#""zones": [{"#,
        r#""zonse": [{"#,
        &[
            r#"1:1: missing field "zones": expected a list of zones"#,
            r#"3:3: unknown field "zonse", did you mean "zones"?"#,
        ],
    ),
    case(
        r#""floor": "50%",
      "detection""#,
        r#""detection""#,
        &[
            r#"5:5: services[0]: missing field "floor": expected the share of its slots that ejections must leave in service, such as "70%""#,
        ],
    ),
    case(
        r#""floor": "50%",
      "detection""#,
        r#""flor": "50%",
      "detection""#,
        &[
            r#"5:5: services[0]: missing field "floor": expected the share of its slots that ejections must leave in service, such as "70%""#,
            r#"7:7: services[0]: unknown field "flor", did you mean "floor"?"#,
        ],
    ),
    case(
        r#""detection": "fast""#,
        r#""detection": "fast", "detection": "fast""#,
        &[r#"8:28: services[0]: field "detection" was given before, at line 8"#],
    ),
    case(
        r#""name": "hello","#,
        r#""name": "hello", "colour": 1,"#,
        &[r#"6:24: services[0]: unknown field "colour""#],
    ),
    case(
        r#""name": "h-1", "#,
        r#""#,
        &[
            r#"16:9: services[0].servers[0]: missing field "name": expected a name of 1 to 100 letters, digits, dots, underscores or hyphens"#,
        ],
    ),
    case(
        r#""address": "10.0.0.1:80", "#,
        r#""#,
        &[
            r#"16:9: services[0].servers[0]: missing field "address": expected the address of a server, an IP number and a port such as "10.0.0.1:80""#,
        ],
    ),
    case(
        r#""data_centre": "here-a", "slots": 2, "connections": 9 },
        { "name": "h-2""#,
        r#""slots": 2, "connections": 9 },
        { "name": "h-2""#,
        &[
            r#"16:9: services[0].servers[0]: missing field "data_centre": expected a data centre of the zones"#,
        ],
    ),
    case(
        r#""path": "/a/*", "#,
        r#""#,
        &[
            r#"12:9: services[0].routes[0]: missing field "path": expected a path pattern that starts with "/", of literal segments, "*" for one segment and a closing "**" for any rest, such as "/stories/*/purchase""#,
        ],
    ),
    case(
        r#""repeatable": false, "#,
        r#""#,
        &[r#"13:9: services[0].routes[1]: missing field "repeatable": expected true or false"#],
    ),
    case(
        r#""latency": "1s" }"#,
        r#""slow": "1s" }"#,
        &[
            r#"21:53: services[1].objective: missing field "latency": expected a duration above zero, a number followed by ms, s, m, h or d such as "250ms""#,
            r#"21:93: services[1].objective: unknown field "slow""#,
        ],
    ),
    case(
        r#""keys": ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"], "#,
        r#""#,
        &[r#"30:5: organisations[0]: missing field "keys": expected a list of key digests"#],
    ),
    case(
        r#""region": "here""#,
        r#""regoin": "here""#,
        &[
            r#"3:13: zones[0]: missing field "region": expected a name of 1 to 100 letters, digits, dots, underscores or hyphens"#,
            r#"3:40: zones[0]: unknown field "regoin", did you mean "region"?"#,
        ],
    ),
    case(
        r#""name": "hello","#,
        r#""name": null,"#,
        &[
            r#"5:5: services[0]: missing field "name": expected a name of 1 to 100 letters, digits, dots, underscores or hyphens"#,
        ],
    ),
    case(
        r#""name": "hello""#,
        r#""name": "hel lo""#,
        &[
            r#"6:15: services[0].name: "hel lo" is not a name of 1 to 100 letters, digits, dots, underscores or hyphens"#,
        ],
    ),
    case(
        r#""name": "hello""#,
        r#""name": 7"#,
        &[
            r#"6:15: services[0].name: 7 is not a name of 1 to 100 letters, digits, dots, underscores or hyphens"#,
        ],
    ),
    case(
        r#""floor": "50%",
      "detection""#,
        r#""floor": "170%",
      "detection""#,
        &[r#"7:16: services[0].floor: "170%" is not a share from "0%" to "100%""#],
    ),
    case(
        r#""floor": "50%",
      "detection""#,
        r#""floor": "-1%",
      "detection""#,
        &[r#"7:16: services[0].floor: "-1%" is not a share from "0%" to "100%""#],
    ),
    case(
        r#""floor": "50%",
      "detection""#,
        r#""floor": 0.5,
      "detection""#,
        &[r#"7:16: services[0].floor: 0.5 is not a share from "0%" to "100%""#],
    ),
    case(
        r#""detection": "fast""#,
        r#""detection": "quick""#,
        &[r#"8:20: services[0].detection: "quick" is not one of fast, balanced, careful"#],
    ),
    case(
        r#""health_path": "/health""#,
        r#""health_path": "health""#,
        &[
            r#"10:22: services[0].health_path: "health" is not a path that starts with "/", such as "/health""#,
        ],
    ),
    case(
        r#""latency": "500ms""#,
        r#""latency": "500""#,
        &[
            r#"9:73: services[0].objective.latency: "500" is not a duration above zero, a number followed by ms, s, m, h or d such as "250ms""#,
        ],
    ),
    case(
        r#""latency": "500ms""#,
        r#""latency": "0s""#,
        &[
            r#"9:73: services[0].objective.latency: "0s" is not a duration above zero, a number followed by ms, s, m, h or d such as "250ms""#,
        ],
    ),
    case(
        r#""methods": ["GET"]"#,
        r#""methods": ["get"]"#,
        &[
            r#"12:23: services[0].routes[0].methods[0]: "get" is not a method in upper case other than CONNECT, such as "GET""#,
        ],
    ),
    case(
        r#""methods": ["GET"]"#,
        r#""methods": ["CONNECT"]"#,
        &[
            r#"12:23: services[0].routes[0].methods[0]: "CONNECT" is not a method in upper case other than CONNECT, such as "GET""#,
        ],
    ),
    case(
        r#""methods": ["GET"]"#,
        r#""methods": "GET""#,
        &[
            r#"12:22: services[0].routes[0].methods: "GET" is not a list of methods such as ["GET", "HEAD"]"#,
        ],
    ),
    case(
        r#""methods": ["GET"]"#,
        r#""methods": ["GET", "GET"]"#,
        &[r#"12:30: services[0].routes[0].methods[1]: method GET was given before, at line 12"#],
    ),
    case(
        r#""/a/*""#,
        r#""a""#,
        &[
            r#"12:39: services[0].routes[0].path: "a" is not a path pattern that starts with "/", of literal segments, "*" for one segment and a closing "**" for any rest, such as "/stories/*/purchase""#,
        ],
    ),
    case(
        r#""/a/*""#,
        r#""/a//b""#,
        &[
            r#"12:39: services[0].routes[0].path: "/a//b" is not a path pattern that starts with "/", of literal segments, "*" for one segment and a closing "**" for any rest, such as "/stories/*/purchase""#,
        ],
    ),
    case(
        r#""/a/*""#,
        r#""/a/**/b""#,
        &[
            r#"12:39: services[0].routes[0].path: "/a/**/b" is not a path pattern that starts with "/", of literal segments, "*" for one segment and a closing "**" for any rest, such as "/stories/*/purchase""#,
        ],
    ),
    case(
        r#""/a/*""#,
        r#""/a*""#,
        &[
            r#"12:39: services[0].routes[0].path: "/a*" is not a path pattern that starts with "/", of literal segments, "*" for one segment and a closing "**" for any rest, such as "/stories/*/purchase""#,
        ],
    ),
    case(
        r#""/a/*""#,
        r#""/a?b""#,
        &[
            r#"12:39: services[0].routes[0].path: "/a?b" is not a path pattern that starts with "/", of literal segments, "*" for one segment and a closing "**" for any rest, such as "/stories/*/purchase""#,
        ],
    ),
    case(
        r#""/a/*""#,
        r#""/v1/entries""#,
        &[
            r#"12:39: services[0].routes[0].path: "/v1/entries" is not a path outside "/v1", which is the fleet's own"#,
        ],
    ),
    case(
        r#""/a/*""#,
        r#""/v1""#,
        &[
            r#"12:39: services[0].routes[0].path: "/v1" is not a path outside "/v1", which is the fleet's own"#,
        ],
    ),
    case(
        r#""/a/*", "repeatable": true, "timeout": "10s""#,
        r#""/a/*", "repeatable": true, "timeout": "0ms""#,
        &[
            r#"12:78: services[0].routes[0].timeout: "0ms" is not a duration above zero, a number followed by ms, s, m, h or d such as "250ms""#,
        ],
    ),
    case(
        r#""/a/*", "repeatable": true, "timeout": "10s""#,
        r#""/a/*", "repeatable": "yes", "timeout": "10s""#,
        &[r#"12:61: services[0].routes[0].repeatable: "yes" is not true or false"#],
    ),
    case(
        r#""ticket": "required""#,
        r#""ticket": "wanted""#,
        &[
            r#"13:77: services[0].routes[1].ticket: "wanted" is not "none", "accepted" or "required""#,
        ],
    ),
    case(
        r#""body_limit": "1MiB""#,
        r#""body_limit": "1MB""#,
        &[
            r#"13:120: services[0].routes[1].body_limit: "1MB" is not a size above zero, a whole number followed by B, KiB, MiB or GiB such as "64KiB""#,
        ],
    ),
    case(
        r#""body_limit": "1MiB""#,
        r#""body_limit": "0B""#,
        &[
            r#"13:120: services[0].routes[1].body_limit: "0B" is not a size above zero, a whole number followed by B, KiB, MiB or GiB such as "64KiB""#,
        ],
    ),
    case(
        r#""address": "10.0.0.1:80""#,
        r#""address": "h-1.example:80""#,
        &[
            r#"16:37: services[0].servers[0].address: "h-1.example:80" is not the address of a server, an IP number and a port such as "10.0.0.1:80""#,
        ],
    ),
    case(
        r#""address": "10.0.0.1:80""#,
        r#""address": "10.0.0.1""#,
        &[
            r#"16:37: services[0].servers[0].address: "10.0.0.1" is not the address of a server, an IP number and a port such as "10.0.0.1:80""#,
        ],
    ),
    case(
        r#""address": "10.0.0.1:80""#,
        r#""address": "10.0.0.1:0""#,
        &[
            r#"16:37: services[0].servers[0].address: "10.0.0.1:0" is not the address of a server, an IP number and a port such as "10.0.0.1:80""#,
        ],
    ),
    case(
        r#""address": "10.0.0.1:80""#,
        r#""address": "0.0.0.0:80""#,
        &[
            r#"16:37: services[0].servers[0].address: "0.0.0.0:80" is not the address of a server, an IP number and a port such as "10.0.0.1:80""#,
        ],
    ),
    case(
        r#""data_centre": "here-a", "slots": 2, "connections": 9 },
        { "name": "h-2""#,
        r#""data_centre": "here-b", "slots": 2, "connections": 9 },
        { "name": "h-2""#,
        &[
            r#"16:67: services[0].servers[0].data_centre: data centre here-b does not exist in this file: expected one of here-a"#,
        ],
    ),
    case(
        r#""h-2", "address": "10.0.0.2:80", "data_centre": "here-a", "slots": 2, "connections": 9"#,
        r#""h-2", "address": "10.0.0.2:80", "data_centre": "here-a", "slots": 0, "connections": 9"#,
        &[r#"17:86: services[0].servers[1].slots: 0 is not a whole number from 1 to 4294967295"#],
    ),
    case(
        r#""h-2", "address": "10.0.0.2:80", "data_centre": "here-a", "slots": 2, "connections": 9"#,
        r#""h-2", "address": "10.0.0.2:80", "data_centre": "here-a", "slots": 2, "connections": 1.5"#,
        &[
            r#"17:104: services[0].servers[1].connections: 1.5 is not a whole number from 1 to 4294967295"#,
        ],
    ),
    case(
        r#""h-2", "address": "10.0.0.2:80", "data_centre": "here-a", "slots": 2, "connections": 9"#,
        r#""h-2", "address": "10.0.0.2:80", "data_centre": "here-a", "slots": 2, "connections": 9, "leaving": 1"#,
        &[r#"17:118: services[0].servers[1].leaving: 1 is not true or false"#],
    ),
    case(
        r#""routes": [{ "path": "/w/**", "repeatable": true, "timeout": "1s" }]"#,
        r#""routes": []"#,
        &[r#"22:17: services[1].routes: [] is not a list of one route or more"#],
    ),
    case(
        r#""servers": [
        { "name": "w-1", "address": "10.0.0.3:80", "data_centre": "here-a", "slots": 1, "connections": 9 },
        { "name": "w-2", "address": "10.0.0.4:80", "data_centre": "here-a", "slots": 1, "connections": 9 },
      ]"#,
        r#""servers": []"#,
        &[r#"23:18: services[1].servers: [] is not a list of one server or more"#],
    ),
    case(
        r#""weight": 2"#,
        r#""weight": 0"#,
        &[r#"30:133: organisations[0].weight: 0 is not a whole number from 1 to 4294967295"#],
    ),
    case(
        r#"["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]"#,
        r#"["example-key"]"#,
        &[
            r#"30:31: organisations[0].keys[0]: a text of 11 characters is not the SHA-256 digest of a bearer key, 64 hexadecimal digits"#,
        ],
    ),
    case(
        r#""services": ["hello"]"#,
        r#""services": ["helo"]"#,
        &[
            r#"30:113: organisations[0].services[0]: service helo does not exist in this file: expected one of hello, world"#,
        ],
    ),
    case(
        r#""name": "world""#,
        r#""name": "hello""#,
        &[r#"21:15: services[1].name: service hello was given before, at line 6"#],
    ),
    case(
        r#""name": "w-1""#,
        r#""name": "h-1""#,
        &[r#"24:19: services[1].servers[0].name: server h-1 was given before, at line 16"#],
    ),
    case(
        r#""10.0.0.4:80""#,
        r#""10.0.0.1:80""#,
        &[
            r#"25:37: services[1].servers[1].address: address 10.0.0.1:80 was given before, at line 16"#,
        ],
    ),
    case(
        r#""name": "two""#,
        r#""name": "one""#,
        &[r#"31:15: organisations[1].name: organisation one was given before, at line 30"#],
    ),
    case(
        r#"bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"#,
        r#"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"#,
        &[
            r#"31:31: organisations[1].keys[0]: key digest aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa was given before, at line 30"#,
        ],
    ),
    case(
        r#""path": "/w/**""#,
        r#""path": "/a/*""#,
        &[
            r#"22:28: services[1].routes[0].path: route "/a/*" with a method in common was given before, at line 12"#,
        ],
    ),
    case(
        r#""path": "/b""#,
        r#""methods_": 0, "path": "/b""#,
        &[r#"13:32: services[0].routes[1]: unknown field "methods_", did you mean "methods"?"#],
    ),
    case(
        r#"{ "data_centre": "here-a", "region": "here" }"#,
        r#"{ "data_centre": "here-a", "region": "here" }, { "data_centre": "here-a", "region": "there" }"#,
        &[r#"3:77: zones[1].data_centre: data centre here-a was given before, at line 3"#],
    ),
    case(
        r#""floor": "50%",
      "detection""#,
        r#""floor": "50%"
      "detection""#,
        &[r#"7:21: not JSON with comments: Expected comma"#],
    ),
    case(
        r#""services": ["hello"], "weight": 2 },"#,
        r#""services": ["hello"], "weight": 2 "#,
        &[r#"31:5: not JSON with comments: Unexpected token in object"#],
    ),
    case(
        r#""weight": 2"#,
        r#"'weight': 2"#,
        &[r#"30:123: not JSON with comments: Single-quoted strings are not allowed"#],
    ),
    case(
        r#""weight": 2"#,
        r#""weight": 0x2"#,
        &[r#"30:133: not JSON with comments: Hexadecimal numbers are not allowed"#],
    ),
];
