import {createHash, timingSafeEqual} from 'node:crypto';
import type {Credential} from '../entry/types.js';
import type {ConfigView, KeyRecord} from './types.js';

const keyIdBytes = 8;
const secretBytes = 32;
const saltBytes = 16;
const keyPattern = /^bt_(?<id>[0-9a-f]{16})_(?<secret>[0-9a-f]{64})$/v;

/** Used in place of a record when the key ID is unknown, so that an unknown key takes as long to check as a wrong secret. */
const dummyRecord = {salt: '00'.repeat(saltBytes), digest: '00'.repeat(32)};

/** Source of cryptographically strong random bytes. */
export type RandomBytes = (count: number) => Uint8Array;

/** A new key: its text, which is shown once, and the record that is stored. */
export type IssuedKey = {
	readonly text: string;
	readonly record: KeyRecord;
};

/** Creates a key of the form `bt_KEYID_SECRET` for a customer. `now` is in milliseconds since the epoch. */
export function createKey(
	customer: string,
	randomBytes: RandomBytes,
	now: number,
): IssuedKey {
	const id = hex(randomBytes(keyIdBytes));
	const secret = hex(randomBytes(secretBytes));
	const salt = hex(randomBytes(saltBytes));
	return {
		text: `bt_${id}_${secret}`,
		record: {
			id,
			customer,
			salt,
			digest: digestSecret(salt, secret),
			issuedAt: now,
		},
	};
}

/** Checks a caller's key in time that does not depend on its secret. */
export function checkKey(
	view: ConfigView,
	text: string | undefined,
): Credential {
	if (text === undefined || text === '') {
		return {kind: 'none'};
	}

	const groups = keyPattern.exec(text)?.groups;
	const id = groups?.id ?? '';
	const record = view.key(id);
	const {salt, digest} = record ?? dummyRecord;
	const isSecretMatching = timingSafeEqualText(
		digest,
		digestSecret(salt, groups?.secret ?? ''),
	);
	const isValid =
		isSecretMatching &&
		record !== undefined &&
		!view.isKeyWithdrawn(id) &&
		view.customer(record.customer) !== undefined;
	return isValid
		? {kind: 'key', keyId: id, customer: record.customer}
		: {kind: 'invalid'};
}

/** Compares two secrets in time that does not depend on where they differ. Hashes both first, as `timingSafeEqual` requires equal lengths. */
export function timingSafeEqualText(left: string, right: string): boolean {
	const leftDigest = createHash('sha256').update(left).digest();
	const rightDigest = createHash('sha256').update(right).digest();
	return timingSafeEqual(leftDigest, rightDigest);
}

function digestSecret(salt: string, secret: string): string {
	return createHash('sha256').update(salt, 'hex').update(secret).digest('hex');
}

function hex(bytes: Uint8Array): string {
	return Array.from(bytes, byte => byte.toString(16).padStart(2, '0')).join('');
}
