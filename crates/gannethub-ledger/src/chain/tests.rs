use super::*;

#[test]
fn key_file_parsing_and_errors() {
    let key = |id: &str, byte: u8| KeyRing::write(id, &[byte; 32]);
    let ring = KeyRing::parse(&format!("# comment\n{}\n{}", key("k1", 7), key("k2", 9))).unwrap();
    assert_eq!(ring.newest().id, "k2");
    assert!(ring.get("k1").is_some() && ring.get("k3").is_none());
    let mac_with = |id: &str| LineMac::default().next(ring.get(id).unwrap(), "[1]");
    assert_ne!(
        mac_with("k1"),
        mac_with("k2"),
        "different keys must give different MACs"
    );
    assert_eq!(
        LineMac::parse(&mac_with("k1").to_string()),
        Some(mac_with("k1"))
    );
    for (text, error) in [
        ("\n# none\n".to_string(), KeyError::Empty),
        ("k1 1234".into(), KeyError::Malformed(1)),
        ("k1".into(), KeyError::Malformed(1)),
        (format!("k/1{}", &key("", 1)), KeyError::BadId(1)),
        (
            key("k1", 1) + &key("k1", 2),
            KeyError::DuplicateId(2, "k1".into()),
        ),
    ] {
        assert_eq!(KeyRing::parse(&text).unwrap_err(), error);
    }
    assert!(
        !format!("{ring:?}").contains("0707"),
        "Debug output must not contain the secret"
    );
}
