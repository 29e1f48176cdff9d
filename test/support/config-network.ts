/** Simulates the configuration exchange of many processes in memory: the production decisions with a seeded random source, without I/O or timers. */
import {chooseExchangePeer, chooseOfferPeers, chooseStartupPeers} from '../../src/configuration/choose-peers.ts';
import {ConfigurationReplica} from '../../src/configuration/configuration-replica.ts';
import {ConfigurationStore} from '../../src/configuration/configuration-store.ts';
import {type Peer, rankWatchers, assignWatch} from '../../src/configuration/watcher-rank.ts';
import {createRevision} from '../../src/ids/revision.ts';
import type {ConfigEntry, ConfigGetParams, ConfigVersion} from '../../src/messages/config-sync.ts';
import {RandomSource} from '../../src/runtime/random-source.ts';

type Message = {readonly to: string; readonly run: (node: SimNode) => void};

/** One step of a simulation: a publication, a fault or its end, or a number of random exchanges. */
export type Step =
	| {readonly kind: 'publish'; readonly document: number; readonly isBad: boolean}
	| {readonly kind: 'restart' | 'kill' | 'cut'; readonly node: number}
	| {readonly kind: 'snapshot' | 'restore' | 'down' | 'up' | 'heal' | 'list'}
	| {readonly kind: 'exchange'; readonly turns: number};

/** A simulated configuration service. */
export class SimService {
	isDown = false;
	revision = 0;
	entries = new Map<string, ConfigEntry>();
	private backup = {revision: 0, entries: new Map<string, ConfigEntry>()};
	private published = 0;

	publish(document: number, isBad: boolean): void {
		this.revision++;
		// Every fifth publication deletes. The counter is not restored, so that histories with the same revisions differ in content.
		this.published++;
		const value = this.published % 5 === 0 ? null : {weight: isBad ? -1 : this.published};
		const path = `/teams/team-${document}/limits`;
		this.entries.set(path, {path, revision: this.revision, value});
	}

	snapshot(): void {
		this.backup = {revision: this.revision, entries: new Map(this.entries)};
	}

	restore(): void {
		this.revision = this.backup.revision;
		this.entries = new Map(this.backup.entries);
	}

	read(after: number) {
		return {revision: createRevision(this.revision), entries: [...this.entries.values()].filter(entry => entry.revision > after)};
	}
}

class SimNode {
	readonly store = new ConfigurationStore();
	readonly replica = new ConfigurationReplica(this.store);
	/** Whether the process has received the VM list. */
	hasVmList = true;
	isAlive = true;
	isPartitioned = false;
	/** The highest revision that a peer announced before the first tree was applied. */
	highestRevisionAtStartup = 0;
	exchanges = 0;

	constructor(readonly peer: Peer) {}
}

/** A simulated network of processes and one configuration service; messages may be lost, duplicated and reordered. */
export class ConfigNetwork {
	readonly service = new SimService();
	readonly nodes: SimNode[];
	/** Descriptions of violated invariants. */
	readonly violations: string[] = [];
	/** Percentage of messages that are lost; of the others, the same percentage is delivered twice. */
	lossPercent = 20;
	private readonly messages: Message[] = [];
	private readonly random: RandomSource;

	constructor(seed: number, zones: readonly number[]) {
		this.random = new RandomSource(seed);
		this.nodes = zones.flatMap((count, zone) => Array.from({length: count}, (_, at) => new SimNode({
			vm: `vm-${zone}-${at}`, zone: `zone-${zone}`, address: `10.0.${zone}.${at}:1`,
		})));
	}

	apply(step: Step): void {
		const actions: Record<Step['kind'], () => void> = {
			publish: () => {
				if (step.kind === 'publish') {
					this.service.publish(step.document, step.isBad);
				}
			},
			restart: () => {
				this.restart(step);
			},
			kill: () => {
				this.nodeOf(step).isAlive = false;
			},
			cut: () => {
				const {zone} = this.nodeOf(step).peer;
				for (const node of this.nodes) {
					node.isPartitioned ||= node.peer.zone === zone;
				}
			},
			snapshot: () => {
				this.service.snapshot();
			},
			restore: () => {
				this.service.restore();
			},
			down: () => {
				this.service.isDown = true;
			},
			up: () => {
				this.service.isDown = false;
			},
			heal: () => {
				for (const node of this.nodes) {
					node.isPartitioned = false;
				}
			},
			list: () => {
				for (const node of this.nodes) {
					node.hasVmList = true;
				}
			},
			exchange: () => {
				this.exchange(step.kind === 'exchange' ? step.turns : 0);
			},
		};
		actions[step.kind]();
	}

	/** Ends all faults except killed processes and runs rounds of service reads and exchanges, so that the processes converge. */
	settle(rounds: number): void {
		this.lossPercent = 0;
		for (const step of ['up', 'heal', 'list'] as const) {
			this.apply({kind: step});
		}

		for (let round = 0; round < rounds; round++) {
			for (const node of this.alive) {
				this.readService(node, false);
				this.exchangeWithPeer(node);
			}

			while (this.messages.length > 0) {
				this.deliver(0);
			}
		}
	}

	/** The processes that were not killed. */
	get alive(): SimNode[] {
		return this.nodes.filter(node => node.isAlive);
	}

	/** Restarts a process with an empty store. */
	restartEmpty(at: number): SimNode {
		const old = this.nodes[at]!;
		const node = new SimNode(old.peer);
		node.isPartitioned = old.isPartitioned;
		this.nodes[at] = node;
		return node;
	}

	/** Makes a restarted process read the service before it exchanges with any peer. */
	readServiceFirst(node: SimNode): void {
		const request = node.replica.nextServiceRequest(0);
		node.replica.handleServiceResponse(request, this.service.read(request.after), 0);
	}

	private exchange(turns: number): void {
		for (let turn = 0; turn < turns; turn++) {
			const node = this.random.sample(this.alive, 1)[0];
			if (node) {
				[() => {
					this.readService(node, this.random.nextInt(4) === 0);
				}, () => {
					this.exchangeWithPeer(node);
				}][this.random.nextInt(2)]?.();
			}

			for (let count = this.random.nextInt(8); count > 0 && this.messages.length > 0; count--) {
				this.deliver(this.random.nextInt(this.messages.length));
			}
		}
	}

	private restart(step: Step): void {
		const node = this.restartEmpty(this.nodes.indexOf(this.nodeOf(step)));
		node.hasVmList = this.random.nextInt(2) === 0;
		for (const peer of chooseStartupPeers(this.choiceOf(node), this.random)) {
			this.sendVersion(node, peer);
		}
	}

	private nodeOf(step: Step): SimNode {
		return this.nodes['node' in step ? step.node % this.nodes.length : 0]!;
	}

	private choiceOf(node: SimNode) {
		const peers = node.hasVmList ? this.nodes.map(({peer}) => peer).filter(({vm}) => vm !== node.peer.vm) : [];
		return {zone: node.peer.zone, peers, isUnreachable: () => false};
	}

	private isWatcher(node: SimNode): boolean {
		const ranking = rankWatchers(node.peer, this.choiceOf(node).peers);
		return assignWatch(node.peer.vm, ranking, vm => !this.nodes.some(candidate => candidate.peer.vm === vm && candidate.isAlive)).role === 'watcher';
	}

	private readService(node: SimNode, isDirect: boolean): void {
		if (node.isPartitioned || !(isDirect || this.isWatcher(node))) {
			return;
		}

		const request = node.replica.nextServiceRequest(0);
		if (this.service.isDown) {
			node.replica.handleServiceFailure();
			return;
		}

		const response = this.service.read(request.after);
		this.send(node.peer.vm, ({replica}) => {
			replica.handleServiceResponse(request, response, 0);
		});
	}

	private exchangeWithPeer(node: SimNode): void {
		const peer = chooseExchangePeer(this.choiceOf(node), node.exchanges++, this.random);
		if (peer) {
			this.sendVersion(node, peer);
		}
	}

	private sendVersion(node: SimNode, peer: Peer): void {
		const ownVersion = node.store.version;
		this.send(peer.vm, receiver => {
			this.handlePeerVersion(receiver, node.peer.vm, ownVersion);
			const peerVersion = receiver.store.version;
			this.send(node.peer.vm, requester => {
				this.handlePeerVersion(requester, peer.vm, peerVersion);
			}, receiver);
		}, node);
	}

	private handlePeerVersion(node: SimNode, from: string, peerVersion: ConfigVersion): void {
		if (node.store.revision === 0) {
			node.highestRevisionAtStartup = Math.max(node.highestRevisionAtStartup, peerVersion.revision);
		}

		const params = node.replica.handlePeerVersion(peerVersion);
		if (params) {
			this.fetchEntries(node, from, params);
		}
	}

	private fetchEntries(node: SimNode, from: string, params: ConfigGetParams): void {
		this.send(from, receiver => {
			const result = receiver.replica.handleGet(params);
			this.send(node.peer.vm, requester => {
				const next = requester.replica.handleGetResult(params, result);
				if (next) {
					this.fetchEntries(requester, from, next);
				}
			}, receiver);
		}, node);
	}

	private send(to: string, run: Message['run'], from?: SimNode): void {
		const target = this.nodes.find(({peer}) => peer.vm === to);
		const isPartitioned = from !== undefined && target !== undefined && from.peer.zone !== target.peer.zone && (from.isPartitioned || target.isPartitioned);
		if (isPartitioned || this.random.nextInt(100) < this.lossPercent) {
			return;
		}

		this.messages.push({to, run});
		if (this.random.nextInt(100) < this.lossPercent) {
			this.messages.push({to, run});
		}
	}

	private deliver(at: number): void {
		const [message] = this.messages.splice(at, 1);
		const node = this.nodes.find(({peer}) => peer.vm === message?.to);
		if (!message || !node?.isAlive) {
			return;
		}

		const before = node.store.revision;
		message.run(node);
		const {revision} = node.store;
		if (revision < before) {
			this.violations.push(`${node.peer.vm} went back from revision ${before} to ${revision}`);
		}

		if (before === 0 && revision > 0 && revision < node.highestRevisionAtStartup) {
			this.violations.push(`${node.peer.vm} started with revision ${revision}, below the announced ${node.highestRevisionAtStartup}`);
		}

		if (revision !== before) {
			const {version} = node.store;
			for (const peer of chooseOfferPeers(this.choiceOf(node), this.isWatcher(node), this.random)) {
				this.send(peer.vm, receiver => {
					this.handlePeerVersion(receiver, node.peer.vm, version);
				}, node);
			}
		}
	}
}
