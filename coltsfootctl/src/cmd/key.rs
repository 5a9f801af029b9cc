//! `key`: grants and withdraws caller keys.

use coltsfoot_catalog::{digest, object, reference};

use crate::{change_file, cmd, error, options, publish, reader};

pub(super) const COMMAND: cmd::ToolCommand = cmd::ToolCommand {
    name: "key",
    usage: "key grant|withdraw NAME",
    summary: "Grants a key to a customer, or withdraws a key",
    examples: "  coltsfootctl key grant desk-2 --customer hotel --log 127.0.0.1:7000\n  \
               coltsfootctl key grant desk-2 --customer hotel --digest 64_HEX_DIGITS \\\n    \
               --settings tool.json\n  \
               coltsfootctl key withdraw desk-2 --settings tool.json\n\n\
               `grant` prints the new key once; only its digest goes to the log. With --digest\n\
               the caller has made the key and given its BLAKE3 digest.",
    operands: 2..=2,
    options: &["customer", "digest", "author", "change-id"],
    run,
};

/// Largest number of attempts to withdraw a key that other operators change concurrently.
const MAX_WITHDRAW_ATTEMPTS: u32 = 5;

fn run(options: &options::ToolOptions) -> Result<(), error::ToolError> {
    match options.operand(0) {
        "grant" => async_io::block_on(grant(options)),
        "withdraw" => async_io::block_on(withdraw(options)),
        _ => Err(error::ToolError::Operands(COMMAND.usage)),
    }
}

async fn grant(options: &options::ToolOptions) -> Result<(), error::ToolError> {
    let customer = options.customer.as_deref();
    let customer = customer.ok_or(error::ToolError::MissingOption("customer"))?;
    let secret = options.digest.is_none().then(new_secret);
    let made = secret.as_deref().map(|secret| digest::KeyDigest::of(secret).to_string());
    let key = object::KeyObject {
        name: options.operand(1).into(),
        customer: customer.into(),
        digest: made.or_else(|| options.digest.clone()).unwrap_or_default(),
        withdrawn: false,
    };
    let action = object::ChangeAction::Put(object::CatalogObject::Key(key));
    let set = change_file::single(options, object::ObjectChange { revision: None, action });
    let mut reader = reader::ConfigReader::open(options).await?;
    let published = publish::publish(&mut reader, set).await?;
    println!("granted: set {} at offset {}", published.change_id, published.offset);
    if let Some(secret) = secret {
        println!("key: {secret}");
    }
    Ok(())
}

/// Withdraws a key at its current revision; retries if another operator has changed it.
async fn withdraw(options: &options::ToolOptions) -> Result<(), error::ToolError> {
    let object = reference::ObjectRef::new(object::ObjectKind::Key, options.operand(1));
    let mut reader = reader::ConfigReader::open(options).await?;
    let mut attempt = 1;
    loop {
        reader.advance(drop).await?;
        let Some(change) = withdrawal(&reader, &object)? else {
            println!("withdrawn before");
            return Ok(());
        };
        match publish::publish(&mut reader, change_file::single(options, change)).await {
            Ok(published) => {
                println!("withdrawn: set {} at offset {}", published.change_id, published.offset);
                return Ok(());
            }
            Err(error::ToolError::Rejected(_)) if attempt < MAX_WITHDRAW_ATTEMPTS => attempt += 1,
            Err(error) => return Err(error),
        }
    }
}

/// Returns the change that withdraws a key, `None` if it is already withdrawn.
fn withdrawal(
    reader: &reader::ConfigReader,
    object: &reference::ObjectRef,
) -> Result<Option<object::ObjectChange>, error::ToolError> {
    let versioned = reader.replica().state().object(object);
    let versioned = versioned.ok_or_else(|| error::ToolError::NoSuchObject(object.clone()))?;
    let object::CatalogObject::Key(key) = versioned.object else { return Ok(None) };
    if key.withdrawn {
        return Ok(None);
    }
    let key = object::KeyObject { withdrawn: true, ..key };
    let action = object::ChangeAction::Put(object::CatalogObject::Key(key));
    Ok(Some(object::ObjectChange { revision: Some(versioned.revision), action }))
}

/// Generates a key with 244 random bits.
fn new_secret() -> String {
    format!("csk-{}{}", uuid::Uuid::new_v4().simple(), uuid::Uuid::new_v4().simple())
}
