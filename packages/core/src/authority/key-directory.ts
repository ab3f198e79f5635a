import {createHash} from 'node:crypto';
import type {AuthorityConfig, CustomerRule} from './types.js';

/** Finds the customer of a key. Looks keys up by digest, so the timing reveals nothing about them. */
export class KeyDirectory {
	static create(config: AuthorityConfig): KeyDirectory {
		const byDigest = new Map<string, CustomerRule>();
		for (const customer of config.customers ?? []) {
			for (const key of customer.keys) {
				byDigest.set(digestOf(key), customer);
			}
		}

		return new KeyDirectory(byDigest);
	}

	private constructor(
		private readonly _byDigest: ReadonlyMap<string, CustomerRule>,
	) {}

	customerOf(key: string): CustomerRule | undefined {
		return this._byDigest.get(digestOf(key));
	}
}

function digestOf(key: string): string {
	return createHash('sha256').update(key).digest('base64');
}
