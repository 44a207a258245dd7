//! The identities of a Faktory front with TLS: a certificate authority and the program's own certificate.

use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, ExtendedKeyUsagePurpose, IsCa, KeyPair,
    KeyUsagePurpose, SanType,
};
use sablerun_stand_ins::scripted::{GATEWAY_CONFIG, test_dir};

const DOMAIN: &str = "site.example";

/// Writes the files of the identities and returns an operator's file that names them.
pub fn gateway_config() -> String {
    let mut authority = CertificateParams::default();
    authority.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    authority.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    let authority_key = KeyPair::generate().expect("a key");
    let authority = CertifiedIssuer::self_signed(authority, authority_key).expect("a certificate");
    let mut own = CertificateParams::default();
    let id = format!("spiffe://{DOMAIN}/sablerun");
    own.subject_alt_names = vec![SanType::URI(id.try_into().expect("ASCII"))];
    own.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    own.extended_key_usages = vec![ExtendedKeyUsagePurpose::ServerAuth];
    let key = KeyPair::generate().expect("a key");
    let own = own.signed_by(&key, &authority).expect("a certificate");
    let folder = test_dir();
    for (file, text) in
        [("svid.pem", own.pem()), ("key.pem", key.serialize_pem()), ("bundle.pem", authority.pem())]
    {
        std::fs::write(folder.join(file), text).expect("a writable folder");
    }
    format!(
        "{}\n[tls]\nsvid = {:?}\nkey = {:?}\n\n[[tls.bundle]]\ntrust_domain = {DOMAIN:?}\nfile = {:?}\n\n\
         [[identity]]\nid = \"spiffe://{DOMAIN}/*\"\nrole = \"both\"\n",
        GATEWAY_CONFIG.replace("plaintext = true", ""),
        folder.join("svid.pem"),
        folder.join("key.pem"),
        folder.join("bundle.pem"),
    )
}
