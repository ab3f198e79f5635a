import {Buffer} from 'node:buffer';

/** Prefix of every key. */
const keyPrefix = 'bt_';

/** Length of a key in characters: prefix, identifier, separator and secret. */
const keyLength = 84;

const keyPattern = /^bt_[0-9a-f]{16}_[0-9a-f]{64}/v;

/** Parts of a request that are forwarded to backend servers or written to the store. */
export type ForwardedParts = {
	readonly body: Uint8Array;
	/** Path, headers and idempotency key. */
	readonly texts: ReadonlyArray<string | undefined>;
};

/** Whether the forwarded parts contain a key: the one that the caller presented, or any text in the format of a key. Texts are also checked percent-decoded. */
export function containsKey(
	{body, texts}: ForwardedParts,
	presentedKey: string | undefined,
): boolean {
	return (
		bytesContainKey(body, presentedKey) ||
		texts.some(
			text => text !== undefined && textContainsKey(text, presentedKey),
		)
	);
}

function textContainsKey(
	text: string,
	presentedKey: string | undefined,
): boolean {
	return [text, percentDecoded(text)].some(form =>
		bytesContainKey(Buffer.from(form), presentedKey),
	);
}

function bytesContainKey(
	bytes: Uint8Array,
	presentedKey: string | undefined,
): boolean {
	const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	if (
		presentedKey !== undefined &&
		presentedKey !== '' &&
		buffer.includes(presentedKey)
	) {
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
