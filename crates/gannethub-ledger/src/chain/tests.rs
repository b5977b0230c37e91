use super::*;

#[test]
fn key_files_good_and_bad() {
    let key = |id: &str, byte: u8| KeyRing::write(id, &[byte; 32]);
    let ring = KeyRing::parse(&format!("# ours\n{}\n{}", key("k1", 7), key("k2", 9))).unwrap();
    assert_eq!(ring.newest().id, "k2");
    assert!(ring.get("k1").is_some() && ring.get("k3").is_none());
    let tied = |id: &str| LineMac::default().next(ring.get(id).unwrap(), "[1]");
    assert_ne!(tied("k1"), tied("k2"), "another key makes another tie");
    assert_eq!(LineMac::parse(&tied("k1").to_string()), Some(tied("k1")));
    for (text, error) in [
        ("\n# none\n".to_string(), KeyError::Empty),
        ("k1 1234".into(), KeyError::Malformed(1)),
        ("k1".into(), KeyError::Malformed(1)),
        (format!("k/1{}", &key("", 1)), KeyError::BadId(1)),
        (
            key("k1", 1) + &key("k1", 2),
            KeyError::Twice(2, "k1".into()),
        ),
    ] {
        assert_eq!(KeyRing::parse(&text).unwrap_err(), error);
    }
    assert!(
        !format!("{ring:?}").contains("0707"),
        "secrets are not printed"
    );
}
