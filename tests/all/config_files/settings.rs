//! Invalid settings and their messages.

use super::{Case, case};

/// Each case with all messages that its check prints.
pub(super) const CASES: &[Case] = &[
    case(
        r#""name": "vm-1", "#,
        r#""#,
        &[
            r#"1:1: missing field "name": expected a name of 1 to 100 letters, digits, dots, underscores or hyphens"#,
        ],
    ),
    case(
        r#""callers": "127.0.0.1:8080",
"#,
        r#"
"#,
        &[
            r#"1:1: missing field "callers": expected an address that others can reach, an IP number of this VM and a port such as "10.0.0.1:80""#,
        ],
    ),
    case(
        r#""callers": "127.0.0.1:8080""#,
        r#""callers": "0.0.0.0:8080""#,
        &[
            r#"3:14: callers: "0.0.0.0:8080" is not an address that others can reach, an IP number of this VM and a port such as "10.0.0.1:80""#,
        ],
    ),
    case(
        r#""callers": "127.0.0.1:8080""#,
        r#""callers": "localhost:8080""#,
        &[
            r#"3:14: callers: "localhost:8080" is not an address that others can reach, an IP number of this VM and a port such as "10.0.0.1:80""#,
        ],
    ),
    case(
        r#""admin": "0.0.0.0:8081""#,
        r#""admin": "127.0.0.1:8080""#,
        &[r#"4:12: admin: listener 127.0.0.1:8080 was given before, at line 3"#],
    ),
    case(
        r#""platform": { "address": "127.0.0.1:7000" }"#,
        r#""platform": { }"#,
        &[
            r#"6:15: platform: { } is not the platform, an object with either address, or embedded and the name of a fleet file"#,
        ],
    ),
    case(
        r#""platform": { "address": "127.0.0.1:7000" }"#,
        r#""platform": { "address": "127.0.0.1:7000", "embedded": "f" }"#,
        &[
            r#"6:15: platform: { "address": "127.0.0.1:7000", "embedded": "f" } is not the platform, an object with either address, or embedded and the name of a fleet file"#,
        ],
    ),
    case(
        r#""platform": { "address": "127.0.0.1:7000" }"#,
        r#""platform": "127.0.0.1:7000""#,
        &[
            r#"6:15: platform: "127.0.0.1:7000" is not the platform, an object with either address, or embedded and the name of a fleet file"#,
        ],
    ),
    case(
        r#""platform": { "address": "127.0.0.1:7000" }"#,
        r#""platform": { "address": "127.0.0.1:0" }"#,
        &[
            r#"6:28: platform.address: "127.0.0.1:0" is not an address, an IP number and a port such as "10.0.0.1:80""#,
        ],
    ),
    case(
        r#""platform": { "address": "127.0.0.1:7000" }"#,
        r#""platform": { "embedded": "" }"#,
        &[r#"6:29: platform.embedded: "" is not the name of a file"#],
    ),
    case(
        r#""seeds": ["127.0.0.1:9001"]"#,
        r#""seeds": ["x"]"#,
        &[
            r#"7:13: seeds[0]: "x" is not an address, an IP number and a port such as "10.0.0.1:80""#,
        ],
    ),
    case(
        r#""key": "k.pem", "#,
        r#""#,
        &[r#"8:11: keys: missing field "key": expected the name of a file"#],
    ),
    case(
        r#""head": "8KiB""#,
        r#""head": "8kB""#,
        &[
            r#"9:42: limits.head: "8kB" is not a size above zero, a whole number followed by B, KiB, MiB or GiB such as "64KiB""#,
        ],
    ),
    case(
        r#""head_timeout": "1s""#,
        r#""head_timeout": "0s""#,
        &[
            r#"9:66: limits.head_timeout: "0s" is not a duration above zero, a number followed by ms, s, m, h or d such as "250ms""#,
        ],
    ),
    case(
        r#""head_timeout": "1s""#,
        r#""headtimeout": "1s""#,
        &[r#"9:50: limits: unknown field "headtimeout", did you mean "head_timeout"?"#],
    ),
    case(
        r#""connections": 10"#,
        r#""connections": -1"#,
        &[r#"9:30: limits.connections: -1 is not a whole number from 1 to 4294967295"#],
    ),
    case(
        r#""entry_lifetime": "10s""#,
        r#""entry_lifetime": 10"#,
        &[
            r#"10:21: entry_lifetime: 10 is not a duration above zero, a number followed by ms, s, m, h or d such as "250ms""#,
        ],
    ),
    case(
        r#""entry_count": 3"#,
        r#""entry_count": 0"#,
        &[r#"11:18: entry_count: 0 is not a whole number from 1 to 4294967295"#],
    ),
    case(
        r#""region": "here","#,
        r#""region": "he/re","#,
        &[
            r#"2:54: region: "he/re" is not a name of 1 to 100 letters, digits, dots, underscores or hyphens"#,
        ],
    ),
    case(
        r#""advertise_peers": "127.0.0.1:9000""#,
        r#""advertise_peers": "127.0.0.1:0""#,
        &[
            r#"5:46: advertise_peers: "127.0.0.1:0" is not an address, an IP number and a port such as "10.0.0.1:80""#,
        ],
    ),
    case(
        r#""advertise_peers": "127.0.0.1:9000""#,
        r#""advertise_peers": 9000"#,
        &[
            r#"5:46: advertise_peers: 9000 is not an address, an IP number and a port such as "10.0.0.1:80""#,
        ],
    ),
];
