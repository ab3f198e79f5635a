import type {StoreVersion} from '../authority/store-version.js';

/** Versions of an era, so that tokens of a later era are higher. 8,192 eras fit into a safe integer. */
const versionsPerEra = 2 ** 40;

/** Returns a number that is higher for a newer version. */
export function fencingTokenOf({era, version}: StoreVersion): number {
	return era * versionsPerEra + version;
}
