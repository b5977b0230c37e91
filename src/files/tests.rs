use super::*;

#[test]
fn key_files_are_made_rotated_and_refused_when_others_can_read_them() {
    use std::os::unix::fs::PermissionsExt;
    let dir = std::env::temp_dir().join(format!("gannethub-keys-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("ledger.keys");
    assert!(matches!(keys(&file), Err(FileError::Unreadable(..))));
    assert_eq!(make_key(&file, false).unwrap(), "k1");
    let first = std::fs::read_to_string(&file).unwrap();
    assert_eq!(make_key(&file, false).unwrap(), "k1", "it stays as it is");
    assert_eq!(make_key(&file, true).unwrap(), "k2");
    let ring = keys(&file).unwrap();
    assert_eq!(ring.ids().collect::<Vec<_>>(), ["k1", "k2"]);
    assert!(std::fs::read_to_string(&file).unwrap().starts_with(&first));
    let open = std::fs::Permissions::from_mode(0o640);
    std::fs::set_permissions(&file, open).unwrap();
    assert!(matches!(keys(&file), Err(FileError::Open(_))));
    std::fs::remove_dir_all(&dir).unwrap();
}
