use super::*;

#[test]
fn fields_keep_their_names_values_and_order() {
    let pairs: [(&[u8], &[u8]); 4] = [(b"a", b"1"), (b"", b""), (b"b", b"two"), (b"a", b"3")];
    let fields = Fields::collect(|| pairs.into_iter());
    let collected: Vec<_> = fields.iter().collect();
    assert_eq!(collected.len(), 4);
    for ((name, value), (n, v)) in pairs.iter().zip(&collected) {
        assert_eq!((*name, *value), (*n, &v[..]));
    }
    assert_eq!(fields.get("a").as_deref(), Some(&b"1"[..]));
    assert_eq!(fields.get("c"), None);
    assert_eq!(Fields::default().iter().count(), 0);
}
