import {Buffer} from 'node:buffer';

/** Start of every key's text. */
const keyPrefix = 'bt_';

/** Length of a key's text: prefix, identifier and secret. */
const keyLength = 84;

const keyPattern = /^bt_[0-9a-f]{16}_[0-9a-f]{64}/v;

/** What of a request goes on to back ends, or to the store. */
export type ForwardedParts = {
	readonly body: Uint8Array;
	/** Path, headers and idempotency key. */
	readonly texts: ReadonlyArray<string | undefined>;
};

/** Whether a key, the caller's own or any other text of that form, stands in what would be handed on. */
export function holdsKey(
	{body, texts}: ForwardedParts,
	shownKey: string | undefined,
): boolean {
	return (
		bytesHoldKey(body, shownKey) ||
		texts.some(text => text !== undefined && textHoldsKey(text, shownKey))
	);
}

function textHoldsKey(text: string, shownKey: string | undefined): boolean {
	return [text, percentDecoded(text)].some(form =>
		bytesHoldKey(Buffer.from(form), shownKey),
	);
}

function bytesHoldKey(
	bytes: Uint8Array,
	shownKey: string | undefined,
): boolean {
	const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	if (shownKey !== undefined && shownKey !== '' && buffer.includes(shownKey)) {
		return true;
	}

	let at = buffer.indexOf(keyPrefix);
	while (at !== -1) {
		if (keyPattern.test(buffer.toString('latin1', at, at + keyLength))) {
			return true;
		}

		at = buffer.indexOf(keyPrefix, at + 1);
	}

	return false;
}

function percentDecoded(text: string): string {
	try {
		return decodeURIComponent(text);
	} catch {
		return text;
	}
}
