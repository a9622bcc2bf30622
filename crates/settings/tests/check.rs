//! Validation of settings and host lists: every violation is reported with its JSON pointer, all at once.

use proptest::prelude::*;
use serde_json::{Value, json};
use tulipstall_settings::{HostList, check};

fn valid_settings() -> Value {
    json!({
        "listen": "127.0.0.1:0",
        "offerings": [{"name": "a", "agreed_time_ms": 1000, "hard_stop_ms": 3000}],
        "kinds": [{"name": "k", "role": "read"}],
    })
}

#[test]
fn each_violation_is_reported_with_its_pointer() {
    type Change = fn(&mut Value);
    let cases: Vec<(&str, Change, Vec<&str>)> = vec![
        ("valid settings", |_| {}, vec![]),
        ("an unknown key", |v| v["lisen"] = json!(1), vec![""]),
        ("no offerings", |v| v["offerings"] = json!([]), vec!["/offerings"]),
        ("not loopback", |v| v["listen"] = json!("0.0.0.0:80"), vec!["/listen"]),
        ("control not loopback", |v| v["control"] = json!("192.168.1.1:80"), vec!["/control"]),
        ("IPv6 loopback", |v| v["listen"] = json!("[::1]:0"), vec![]),
        (
            "two violations at once",
            |v| {
                v["dispatchers"] = json!(0);
                v["offerings"][0]["agreed_time_ms"] = json!("soon");
            },
            vec!["/dispatchers", "/offerings/0/agreed_time_ms"],
        ),
        ("index of the dispatcher out of range", |v| v["me"] = json!(1), vec!["/me"]),
        ("an unknown zone", |v| v["zone"] = json!("x"), vec!["/zone"]),
        ("a wrong effect", |v| v["offerings"][0]["effect"] = json!("twice"), vec!["/offerings/0/effect"]),
        (
            "referenced without a window",
            |v| v["offerings"][0]["effect"] = json!("referenced"),
            vec!["/offerings/0/window_ms"],
        ),
        (
            "a hard stop before the agreed time",
            |v| v["offerings"][0]["hard_stop_ms"] = json!(500),
            vec!["/offerings/0/hard_stop_ms"],
        ),
        (
            "a duplicate name",
            |v| v["kinds"] = json!([{"name": "k", "role": "read"}, {"name": "k", "role": "write"}]),
            vec!["/kinds/1/name"],
        ),
        (
            "a duplicate key",
            |v| v["customers"] = json!([{"name": "a", "key": "12345678"}, {"name": "b", "key": "12345678"}]),
            vec!["/customers/1/key"],
        ),
        (
            "a capacity of 0 at the start",
            |v| v["rules"] = json!({"cold_from": 0.0}),
            vec!["/rules/cold_from"],
        ),
    ];
    for (what, change, pointers) in cases {
        let mut value = valid_settings();
        change(&mut value);
        let violations = check(&value.to_string()).err().unwrap_or_default();
        let mut found: Vec<&str> = violations.iter().map(|violation| violation.pointer.as_str()).collect();
        found.sort_unstable();
        assert_eq!(found, pointers, "{what}: {violations:?}");
        assert!(
            violations.iter().all(|violation| !violation.found.is_empty() && !violation.expected.is_empty()),
            "{what}"
        );
        assert!(
            !violations.iter().any(|violation| violation.to_string().contains("12345678")),
            "{what}: a key is printed"
        );
    }
}

#[test]
fn config_has_the_names_that_the_decision_core_reads() {
    let settings = check(&valid_settings().to_string()).expect("valid settings");
    let config = settings.to_config();
    assert_eq!(config.number("offerings.0.agreed_time_us"), Some(1e6));
    assert_eq!(config.text("offerings.0.effect"), Some("replayable"));
    assert_eq!(config.text("service.role_by_kind.0"), Some("read"));
    assert_eq!(config.duration("rules.drain_grace_us"), Some(std::time::Duration::from_millis(250)));
}

#[test]
fn a_host_list_with_any_violation_is_rejected_as_a_whole() {
    let cases = [
        (r#"{"hosts":[{"host":"127.0.0.1:1","kind":"k"}]}"#, true),
        (r#"{"hosts":[{"host":"127.0.0.1:1","kind":"k"},{"host":"10.0.0.1:1","kind":"k"}]}"#, false),
        (r#"{"hosts":[{"host":"127.0.0.1:1","kind":"k"},{"host":"127.0.0.1:1","kind":"k"}]}"#, false),
        (r#"{"hosts":[{"host":"127.0.0.1:1","kind":"k","standing":"asleep"}]}"#, false),
        (r#"{"hosts":[{"host":"127.0.0.1:1"}"#, false),
    ];
    for (text, accepted) in cases {
        assert_eq!(HostList::read(text).is_ok(), accepted, "{text}");
    }
}

proptest! {
    #[test]
    fn any_text_is_checked_without_panic(text in ".{0,200}") {
        let _ = check(&text);
        let _ = HostList::read(&text);
    }

    #[test]
    fn any_value_in_any_field_is_checked_without_panic(index in 0usize..6, number in any::<i64>(), text in "[a-z:/.0-9]{0,20}") {
        let mut value = valid_settings();
        let pointer = ["/listen", "/offerings/0/agreed_time_ms", "/offerings/0/hard_stop_ms", "/offerings/0/name", "/kinds/0/role", "/kinds"][index];
        if let Some(field) = value.pointer_mut(pointer) {
            *field = if number % 2 == 0 { json!(number) } else { json!(text) };
        }
        let _ = check(&value.to_string());
    }
}
