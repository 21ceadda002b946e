//! The readers don't panic, whatever their input.

use lockusher_config::configuration::Configuration;
use lockusher_config::instances_reader::InstancePage;
use lockusher_config::settings::NodeSettings;
use proptest::prelude::*;

/// Field names that the readers look for.
const FIELDS: &str = "version|routes|services|limits|host|pathPrefix|kind|timeoutMs|trafficSplit|service|weight|\
                      attempts|name|engine|models|linkMbps|instances|nextToken|identifier|address|state|stage|slots";

/// JSON documents with the fields that the readers look for.
fn json() -> impl Strategy<Value = String> {
    let leaf = prop_oneof![
        Just("null".to_owned()),
        any::<bool>().prop_map(|flag| flag.to_string()),
        any::<i64>().prop_map(|number| number.to_string()),
        any::<f64>()
            .prop_filter("JSON has finite numbers", |number| number.is_finite())
            .prop_map(|n| n.to_string()),
        "[a-z/:0-9.]{0,12}".prop_map(|text| format!("{text:?}")),
    ];
    leaf.prop_recursive(5, 60, 8, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..5)
                .prop_map(|items| format!("[{}]", items.join(","))),
            prop::collection::btree_map(FIELDS, inner, 0..8).prop_map(|fields| {
                let fields: Vec<_> = fields
                    .iter()
                    .map(|(name, value)| format!("{name:?}:{value}"))
                    .collect();
                format!("{{{}}}", fields.join(","))
            }),
        ]
    })
}

proptest! {
    #[test]
    fn arbitrary_bytes_make_no_reader_panic(body in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = Configuration::parse(&body);
        let _ = InstancePage::parse(&body);
    }

    #[test]
    fn documents_with_known_fields_make_no_reader_panic(body in json()) {
        let _ = Configuration::parse(body.as_bytes());
        let _ = InstancePage::parse(body.as_bytes());
    }

    #[test]
    fn arbitrary_text_makes_no_reader_panic(text in "(?s).{0,300}") {
        let _ = NodeSettings::parse(&text);
    }

    #[test]
    fn lines_with_known_keys_make_no_reader_panic(
        lines in prop::collection::vec(
            ("(node|zone|zones\\.a|ipAddress|internalPorts|seeds|bounds\\.graceS|limits\\.cores)", "=?", ".{0,12}"),
            0..12,
        ),
    ) {
        let text: String = lines.iter().map(|(key, sign, value)| format!("{key}{sign}{value}\n")).collect();
        let _ = NodeSettings::parse(&text);
    }
}

#[test]
fn deep_nesting_is_refused() {
    let body = "[".repeat(100_000);
    assert!(Configuration::parse(body.as_bytes()).is_err());
}
