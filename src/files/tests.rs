use super::*;

#[test]
fn key_file_is_created_rotated_and_refused_if_readable_by_others() {
    let directory = std::env::temp_dir().join(format!("gannethub-keys-{}", std::process::id()));
    fs::create_dir_all(&directory).unwrap();
    let file = directory.join("ledger.keys");
    assert!(matches!(
        read_keys(&file),
        Err(FileError::Inaccessible { .. })
    ));
    assert_eq!(make_key(&file, false).unwrap(), "k1");
    let first = fs::read_to_string(&file).unwrap();
    assert_eq!(
        make_key(&file, false).unwrap(),
        "k1",
        "an existing key file stays unchanged"
    );
    assert_eq!(make_key(&file, true).unwrap(), "k2");
    let keys = read_keys(&file).unwrap();
    assert_eq!(keys.ids().collect::<Vec<_>>(), ["k1", "k2"]);
    assert!(fs::read_to_string(&file).unwrap().starts_with(&first));
    let readable_by_group = fs::Permissions::from_mode(0o640);
    fs::set_permissions(&file, readable_by_group).unwrap();
    assert!(matches!(read_keys(&file), Err(FileError::KeysExposed(_))));
    fs::remove_dir_all(&directory).unwrap();
}
