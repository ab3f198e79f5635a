import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import type {ServerRecord} from '../placement/types.js';
import {
	maxStreamLifetimeMs,
	maxStreamTextLength,
	maxVersionListAgeMs,
} from './constants.js';
import {decideResumption} from './decide-resumption.js';
import {SoftwareVersions} from './software-versions.js';
import {streamLifetimeMs, StreamOrigins} from './stream-origins.js';

const v1 = {service: 's', softwareVersion: 'v1'};
const v2 = {service: 's', softwareVersion: 'v2'};

function server(softwareVersion?: string, service = 's'): ServerRecord {
	return {
		id: `${service}-${softwareVersion}`,
		service,
		address: '10.0.0.1:80',
		zone: 'z1',
		slots: 1,
		isDraining: false,
		coldLeftMs: 0,
		models: [],
		...(softwareVersion !== undefined && {softwareVersion}),
	};
}

describe('streamLifetimeMs', () => {
	it('outlasts a second try that names the whole limit again, up to a maximum', () => {
		assert.ok(streamLifetimeMs(15_000) > 30_000);
		assert.equal(streamLifetimeMs(1e9), maxStreamLifetimeMs);
	});
});

describe('StreamOrigins', () => {
	let origins: StreamOrigins;

	beforeEach(() => {
		origins = StreamOrigins.create(3);
	});

	it('keeps an origin until it expires', () => {
		origins.note({id: 'a', origin: v1, forMs: 100}, 0);
		assert.deepEqual(origins.originOf('a', 99), v1);
		assert.equal(origins.originOf('a', 100), undefined);
		assert.equal(origins.originOf('b', 0), undefined);
	});

	// Guards against a late datagram of another entry that changes where a stream goes on (ORDER).
	it('keeps the origin that was noted first, and the longest time', () => {
		origins.note({id: 'a', origin: v1, forMs: 100}, 0);
		origins.note({id: 'a', origin: v2, forMs: 50}, 10);
		assert.deepEqual(origins.originOf('a', 99), v1);
		origins.note({id: 'a', origin: v1, forMs: 100}, 90);
		assert.deepEqual(origins.originOf('a', 189), v1);
	});

	it('notes an identifier anew once it has expired', () => {
		origins.note({id: 'a', origin: v1, forMs: 100}, 0);
		origins.note({id: 'a', origin: v2, forMs: 100}, 100);
		assert.deepEqual(origins.originOf('a', 101), v2);
	});

	it('drops expired origins, and the oldest ones beyond its maximum', () => {
		for (const id of ['a', 'b', 'c', 'd']) {
			origins.note({id, origin: v1, forMs: 100}, 0);
		}

		assert.equal(origins.size, 3);
		assert.equal(origins.originOf('a', 0), undefined);
		origins.note({id: 'e', origin: v1, forMs: 100}, 100);
		assert.equal(origins.size, 1);
	});

	it('keeps no long texts, and none for longer than the maximum', () => {
		const long = 'x'.repeat(maxStreamTextLength + 1);
		origins.note({id: long, origin: v1, forMs: 100}, 0);
		origins.note(
			{id: 'a', origin: {service: 's', softwareVersion: long}, forMs: 100},
			0,
		);
		assert.equal(origins.size, 0);
		origins.note({id: 'a', origin: v1, forMs: Infinity}, 0);
		assert.equal(origins.originOf('a', maxStreamLifetimeMs), undefined);
	});

	it('lists what it keeps, with the time that is left', () => {
		origins.note({id: 'a', origin: v1, forMs: 100}, 0);
		origins.note({id: 'b', origin: v2, forMs: 20}, 0);
		assert.deepEqual(origins.entries(30), [{id: 'a', origin: v1, forMs: 70}]);
	});
});

describe('SoftwareVersions', () => {
	const spanMs = 1000;
	let versions: SoftwareVersions;

	/** Applies the list at a time, as entries do every second. */
	function listAt(now: number, ...records: readonly ServerRecord[]): void {
		versions.noteConfirmed(1000, now);
		versions.update(records, now);
	}

	function onlyVersion(now: number, confirmedAt = now): string | undefined {
		return versions.onlyVersion('s', spanMs, {confirmedAt, now});
	}

	beforeEach(() => {
		versions = SoftwareVersions.create();
	});

	// Guards against an entry that takes the version that it sees after its start for the only one (ORDER).
	it('is certain of a single version only after it has followed the list for the whole time', () => {
		listAt(0, server('v1'), server('x9', 'other'));
		assert.equal(onlyVersion(999), undefined);
		assert.equal(onlyVersion(1000), 'v1');
	});

	it('is not certain for as long after another version left', () => {
		listAt(0, server('v1'), server('v2'));
		listAt(2000, server('v2'));
		assert.equal(onlyVersion(3000), undefined);
		assert.equal(onlyVersion(3001), 'v2');
		listAt(4000, server('v1'), server('v2'));
		assert.equal(onlyVersion(4000), undefined);
	});

	// Guards against an entry that was cut off from the list and missed a version that came and left (ORDER).
	it('is not certain while the list is old, and not for the time after a gap', () => {
		listAt(0, server('v1'));
		const late = maxVersionListAgeMs + 2000;
		assert.equal(onlyVersion(late, 1000), undefined);
		versions.noteConfirmed(late - 1000, late);
		versions.update([server('v1')], late);
		assert.equal(onlyVersion(late + 999), undefined);
		assert.equal(onlyVersion(late + 1000), 'v1');
	});

	it('starts anew when the host may have been suspended', () => {
		listAt(0, server('v1'));
		versions.resetFollowing(5000);
		assert.equal(onlyVersion(5999), undefined);
		assert.equal(onlyVersion(6000), 'v1');
	});

	it('counts servers that do not say their version as a version of its own', () => {
		listAt(0, server(), server('v1'));
		assert.equal(onlyVersion(2000), undefined);
		assert.equal(versions.isUnversioned('s'), false);
		assert.deepEqual(versions.listed('s').toSorted(), ['', 'v1']);
	});

	it('knows services whose servers never said a version', () => {
		assert.equal(versions.isUnversioned('s'), false);
		listAt(0, server());
		assert.equal(versions.isUnversioned('s'), true);
		listAt(1000, server(), server('v1'));
		listAt(2000, server());
		assert.equal(versions.isUnversioned('s'), false);
	});
});

describe('decideResumption', () => {
	const nothing = {origin: undefined, onlyVersion: undefined};
	const only = (onlyVersion: string) => ({origin: undefined, onlyVersion});

	it('goes by a record, whoever has it', () => {
		const expected = {kind: 'known', origin: v1, by: 'record'};
		const record = {origin: v1, onlyVersion: undefined};
		assert.deepEqual(decideResumption('s', record, [], ['v2']), expected);
		assert.deepEqual(
			decideResumption('s', only('v2'), [nothing, record], ['v2']),
			expected,
		);
	});

	it('goes by the only version without a record, whoever knows it', () => {
		const expected = {kind: 'known', origin: v1, by: 'onlyVersion'};
		assert.deepEqual(decideResumption('s', only('v1'), [], ['v1']), expected);
		assert.deepEqual(
			decideResumption('s', nothing, [nothing, only('v1')], ['v1']),
			expected,
		);
	});

	// Guards against a guess: entries see a new version at different times (ORDER).
	it('does not know if entries differ, or if another version is listed', () => {
		const unknown = {kind: 'unknown'};
		assert.deepEqual(decideResumption('s', nothing, [], ['v1']), unknown);
		assert.deepEqual(
			decideResumption('s', only('v1'), [only('v2')], ['v1']),
			unknown,
		);
		assert.deepEqual(
			decideResumption('s', nothing, [only('v1')], ['v1', 'v2']),
			unknown,
		);
	});
});
