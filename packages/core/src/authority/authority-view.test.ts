import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {AuthorityView} from './authority-view.js';
import {configOf, configRow, customer, route} from './authority.testing.js';
import {pickShare, RouteTable} from './route-table.js';
import type {AuthorityRow} from './types.js';

const zoneOut = (rowVersion: number): AuthorityRow => ({
	key: 'zone',
	rowVersion,
	statement: {type: 'zoneOut', zone: 'z1'},
});

describe('AuthorityView', () => {
	describe('with stale rows', () => {
		it('keeps the newest configuration when an older one arrives late', () => {
			const view = AuthorityView.create();
			view.apply([configRow(5, 3)], 0);
			const change = view.apply([configRow(4, 2)], 1);
			assert.equal(change.hasNewConfig, false);
			assert.equal(view.inForce?.config.version, 3);
		});

		it('keeps the newest configuration when a newer row holds an older one', () => {
			const view = AuthorityView.create();
			view.apply([configRow(1, 2)], 0);
			view.apply([configRow(2, 1)], 0);
			assert.equal(view.inForce?.config.version, 2);
		});

		it('keeps the configuration when a full read lacks it', () => {
			const view = AuthorityView.create();
			view.apply([configRow(5, 3)], 0);
			view.applyAll([], 9, 1);
			assert.equal(view.inForce?.config.version, 3);
			assert.equal(view.rows().length, 1);
		});

		it('keeps a statement that is newer than a full read', () => {
			const view = AuthorityView.create();
			view.apply([zoneOut(8)], 0);
			view.applyAll([], 7, 1);
			assert.equal(view.isZoneOut('z1'), true);
		});

		it('keeps the highest adapter version and the time at which its limit began', () => {
			const view = AuthorityView.create();
			const declare = (rowVersion: number, version: number): AuthorityRow => ({
				key: 'v',
				rowVersion,
				statement: {type: 'adapterVersion', model: 'm', adapter: 'a', version},
			});
			view.apply([declare(1, 4)], 10);
			view.apply([declare(2, 3)], 20);
			assert.equal(view.newestVersion('m', 'a'), 4);
			assert.equal(view.minVersion('m', 'a', 100, 109), 0);
			assert.equal(view.minVersion('m', 'a', 100, 110), 4);
		});
	});

	describe('adapter versions', () => {
		const declaration: AuthorityRow = {
			key: 'v',
			rowVersion: 1,
			statement: {
				type: 'adapterVersion',
				model: 'm',
				adapter: 'a',
				version: 2,
			},
		};
		const graceMs = 3500;

		// Guards against a time in use that begins when this process hears of a version, however late.
		it('end the use of older ones by the time at which they may have been declared', () => {
			const view = AuthorityView.create();
			const provenAt = 1000;
			view.apply([declaration], provenAt);
			assert.equal(view.minVersion('m', 'a', graceMs, 4499), 0);
			assert.equal(view.minVersion('m', 'a', graceMs, 4500), 2);
		});

		// Guards against a restarted process that counts the time in use from its own start.
		it('end it at once in a process that did not know the statements before', () => {
			const view = AuthorityView.create();
			view.applyAll([declaration], 1, Number.NEGATIVE_INFINITY);
			assert.equal(view.minVersion('m', 'a', graceMs, 0), 2);
		});

		// Guards against a time in use that is measured by a clock that stopped during a suspension.
		it('end it at once after a suspension', () => {
			const view = AuthorityView.create();
			view.apply([declaration], 1000);
			view.forgetVersionTimes();
			assert.equal(view.minVersion('m', 'a', graceMs, 1001), 2);
			assert.equal(view.newestVersion('m', 'a'), 2);
		});
	});

	describe('withdrawn statements', () => {
		it('are dropped by a removed row, and not restored by an older one', () => {
			const view = AuthorityView.create();
			view.apply([zoneOut(2)], 0);
			view.apply(
				[{key: 'zone', rowVersion: 3, statement: {type: 'withdrawn'}}],
				1,
			);
			assert.equal(view.isZoneOut('z1'), false);
			view.apply([zoneOut(2)], 2);
			assert.equal(view.isZoneOut('z1'), false);
		});

		it('are dropped by a full read that lacks them', () => {
			const view = AuthorityView.create();
			view.apply([zoneOut(2)], 0);
			view.applyAll([], 3, 1);
			assert.equal(view.isZoneOut('z1'), false);
		});
	});

	it('finds the customer of a key only in the newest configuration', () => {
		const view = AuthorityView.create();
		view.apply([configRow(1, 1)], 0);
		assert.equal(view.inForce?.keys.customerOf('k')?.name, 'c');
		const config = configOf(2, {customers: [{...customer, keys: []}]});
		view.apply(
			[{key: 'config', rowVersion: 2, statement: {type: 'config', config}}],
			1,
		);
		assert.equal(view.inForce?.keys.customerOf('k'), undefined);
	});
});

describe('RouteTable', () => {
	it('finds the route with the longest matching prefix of the host', () => {
		const inner = {...route, name: 'inner', pathPrefix: '/a/b/'};
		const table = RouteTable.create(configOf(1, {routes: [route, inner]}));
		assert.equal(table.routeOf('a.example', '/a/b/c')?.name, 'inner');
		assert.equal(table.routeOf('a.example', '/a/c')?.name, 'r');
		assert.equal(table.routeOf('a.example', '/b/'), undefined);
		assert.equal(table.routeOf('b.example', '/a/'), undefined);
	});

	it('picks services by weight', () => {
		const shares = [
			{service: 'x', weight: 9},
			{service: 'y', weight: 1},
		];
		assert.equal(pickShare(shares, 0.89), 'x');
		assert.equal(pickShare(shares, 0.91), 'y');
		assert.equal(pickShare([], 0.5), undefined);
	});
});
